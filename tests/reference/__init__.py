"""Former implementations, kept as references for the current ones."""
