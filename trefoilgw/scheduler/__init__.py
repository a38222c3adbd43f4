"""Program that accepts jobs from callers and assigns their tasks to runners."""
