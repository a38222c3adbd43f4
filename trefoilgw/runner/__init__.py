"""Program that starts and stops the runs of the target on its host."""
