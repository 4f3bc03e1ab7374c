/**
 * Load, fault injection and the final check that tests of the simulated cluster share.
 */
#pragma once

#include "sim/sim.h"

/** Submits arrays of both teams, more than there is capacity for, some of them bound to one zone.
 */
void sim_add_load(Sim *sim, guint rounds);

/** A simulated cluster in which such a load has begun to run. */
Sim *sim_new_with_load(guint32 seed);

/** Cancels as many random jobs. */
void sim_cancel_random_jobs(Sim *sim, guint count);

/** The node that leads, or node 0 while none does. */
guint sim_leader_or_first(const Sim *sim);

/** The node after this one. */
guint sim_next_node(guint node);

/** Injects the fault into random machines that are up. */
void sim_inject_machine_faults(Sim *sim, guint count, SimMachineFault inject, double seconds);

/** Injects two or three faults drawn at random, with overlapping times, for a minute. */
void sim_inject_random_faults(Sim *sim);

/** Runs until no job is open, or for so many seconds. */
void sim_run_until_jobs_end(Sim *sim, guint max_seconds);

/** Cancels a random job at a time until none is open, or so many times, with a pause after each. */
void sim_cancel_until_jobs_end(Sim *sim, guint max_rounds, double pause_s);

/** Ends all faults; fails unless then every job completes, and no machine leaks. */
void sim_expect_recovery(Sim *sim);

/** Sends malformed requests five times within a few seconds. */
void sim_send_malformed_requests_repeatedly(Sim *sim);

/** How many seeds a test plays: as usual, or WS_SEEDS. */
guint sim_seed_count(guint usual);

/** Plays the seeds from @first on, as many as usual or WS_SEEDS; with WS_SEED set, that one alone.
 */
void sim_play_seeds(guint32 first, guint usual, void (*play)(guint32 seed));
