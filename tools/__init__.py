"""Development tools: stand-ins, launcher, measurements and test runner."""
