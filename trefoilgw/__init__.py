"""Dispatcher for sub-second tasks of customers who share a fleet."""

import os
import warnings

# Addresses are IP numbers, so no process needs eventlet's resolver; leaving
# it out saves about 11 MB of resident memory. Must be set before eventlet is
# imported.
os.environ.setdefault("EVENTLET_NO_GREENDNS", "yes")

# The project is built on eventlet by decision of its users; its deprecation
# notice would stand in the log of every process.
warnings.filterwarnings("ignore", message="\\s*Eventlet is deprecated")
