/**
 * Random jobs and random faults for the tests of whole controllers.
 */
#pragma once

#include "sim/sim.h"

/** Submits @count jobs of random size, kind, team and priority. */
void submit_random_jobs(Sim *sim, guint count);

/** Injects a random fault. A fault without a duration lasts until it is drawn again. */
void inject_random_fault(Sim *sim);
