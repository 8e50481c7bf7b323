"""How nodes talk to each other: cores, datagrams, calls, seals, time."""
