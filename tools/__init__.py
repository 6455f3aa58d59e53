"""Tools for developers: the demo, the benches and the packer."""
