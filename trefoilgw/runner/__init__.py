"""Program beside a target that starts and stops its runs."""
