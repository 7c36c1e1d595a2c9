"""Proof at scale on one machine: hollow and real coordinators, stand-ins, a rule checker, cost fits."""
