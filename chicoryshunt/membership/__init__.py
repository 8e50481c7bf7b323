"""Which VMs are in the fleet, live or leaving; nothing about targets."""
