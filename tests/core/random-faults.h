/**
 * Random jobs and random faults of the tests of whole controllers.
 */
#pragma once

#include "sim/sim.h"

/** Submits so many jobs of random size, kind, team and priority. */
void submit_random_jobs(Sim *sim, guint count);

/** Injects a fault drawn at random, or ends it where it lasts until then. */
void inject_random_fault(Sim *sim);
