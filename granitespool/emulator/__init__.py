"""The laboratory: real coordinators in virtual time among stand-ins of everyone else, from one seed.

    schema    what an experiment's file may say
    world     the emulator: clock, backends, proxies, channel, collectors, discovery
    play      an experiment's variants, what is measured of each, and the report

It shows what the benches outside cannot: here, what a coordinator's memory is worth at a restart. Every
figure is one of simulated servers."""
