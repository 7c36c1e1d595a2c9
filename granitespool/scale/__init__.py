"""Scale tests on one machine: real and hollow coordinators, stand-ins, a checker of the rules, cost fits."""
