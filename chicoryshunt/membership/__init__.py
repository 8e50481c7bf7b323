"""Gossip membership: the VMs of the fleet and their states."""
