"""What the emulator and the scale run share; no module here knows either of them."""
