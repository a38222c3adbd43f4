"""Program that takes callers' jobs and places their tasks."""
