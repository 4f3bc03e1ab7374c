/**
 * Load, fault injection and the final check, shared by the tests of the simulated cluster.
 */
#pragma once

#include "sim/sim.h"

/**
 * Submits @rounds sets of five jobs of both teams, more than the quotas allow to run at once. Some
 * are bound to one zone.
 */
void sim_add_load(Sim *sim, guint rounds);

/** Creates a simulated cluster, adds load, runs for 18 s and adds the same load again. */
Sim *sim_new_with_load(guint32 seed);

/** Cancels @count random jobs, as sim_cancel_random_job() does. */
void sim_cancel_random_jobs(Sim *sim, guint count);

/** Crashes a random node, which is back after a random time; the node is drawn first. */
void sim_restart_random_node(Sim *sim, double min_back_s, double max_back_s);

/** Stalls a random machine that is up for a random time; the time is drawn first. */
void sim_stall_random_machine_for(Sim *sim, double min_s, double max_s);

/** The leader according to its record in the store, or node 0 if there is none. */
guint sim_leader_or_first(const Sim *sim);

/** The node with the next number, modulo SIM_NODES. */
guint sim_next_node(guint node);

/** Injects the fault into up to @count random machines that are up. */
void sim_inject_machine_faults(Sim *sim, guint count, SimMachineFault inject, double seconds);

/** Runs for 60 s with two or three faults of random kinds, whose random times mostly overlap. */
void sim_inject_random_faults(Sim *sim);

/** Runs until no job is open, but at most for @max_seconds. */
void sim_run_until_jobs_end(Sim *sim, guint max_seconds);

/** Cancels a random job and runs for @pause_s, repeatedly until no job is open, at most
    @max_rounds times. */
void sim_cancel_until_jobs_end(Sim *sim, guint max_rounds, double pause_s);

/**
 * Ends all faults. Fails unless every job then ends and neither a rented machine nor a termination
 * mark is left, or if the store has rejected a transaction for its size.
 */
void sim_expect_recovery(Sim *sim);

/** Does the same with the usual idle timeout of machines, and frees the cluster. */
void sim_expect_recovery_and_free(Sim *sim);

/** Sends malformed requests five times within 3.5 s. */
void sim_send_malformed_requests_repeatedly(Sim *sim);

/** The number of seeds that a test runs: the value of WS_SEEDS if it is set, else @usual. */
guint sim_seed_count(guint usual);

/**
 * Calls @play with each of sim_seed_count(@usual) seeds from @first on. If WS_SEED is set, it calls
 * @play with this seed only.
 */
void sim_play_seeds(guint32 first, guint usual, void (*play)(guint32 seed));
