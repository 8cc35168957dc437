"""What a front end keeps over a power loss, what of it counts afterwards, and how service returns."""
