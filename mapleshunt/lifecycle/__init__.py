"""The lifecycle of a gateway process: its states, statistics, and the warm state for the next process."""
