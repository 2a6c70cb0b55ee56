"""Clients that send many long commands at once at one gateway, judged by its memory and by their answers."""
