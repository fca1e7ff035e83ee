"""Clock, timers, log, memory budget: what every other package stands on. Nothing here waits."""
