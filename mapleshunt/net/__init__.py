"""The gateway's sockets: everything between the network and the decision module."""
