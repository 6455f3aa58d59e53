"""Fleet management: slot ownership, memory, placement and membership."""
