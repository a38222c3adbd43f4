"""Parts of the fault soak: its plan, its faults and its checks."""
