"""Fault schedules of replicas: real gateways with replicas, faults in and between them, and a judgement."""
