"""Emulator: real coordinators in virtual time among stand-ins of everyone else, from one seed.

    schema              what an experiment's INI file may say
    clock               virtual time and what is due when
    backend             one emulated backend, and its faults
    request_traffic     transactions, their attempts, and what proxies and collectors count of them
    channel             the channel from a coordinator to its proxies
    coordinator_host    a coordinator's incarnations, and everything that reaches or leaves it
    emulation           all of these together
    snapshots           what a coordinator writes to a state folder and recovers from it
    distance            how far routing tables are from each other
    restart             one trial: an incarnation ends, the next one starts
    experiment          all trials of an experiment
    report, plot        the result as JSON, as a table, as a plot

Every figure is one of simulated servers."""
