"""Development tools: stand-ins, demo launcher, figures, slopes, test runner."""
