"""Fault schedules for replicas: real gateways with replicas, faults in and between them, and checks."""
