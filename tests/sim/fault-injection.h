/**
 * Loads and troubles that several tests of the simulated world share.
 */
#pragma once

#include "sim/sim.h"

/** Submits arrays of both teams, more than there is room for, some of them bound to one zone. */
void sim_add_load(Sim *sim, guint rounds);

/** A world in which such a load has begun to run. */
Sim *sim_loaded_world(guint32 seed);

void sim_cancel_some(Sim *sim, guint count);

/** The node that leads, or node 0 while none does. */
guint sim_leader_or_first(const Sim *sim);

guint sim_other_node(guint node);

/** Brings machines that are up into trouble. */
void sim_trouble_machines(Sim *sim, guint count, void (*trouble)(Sim *, guint, double),
                          double seconds);

/** Two or three troubles drawn at random, with overlapping times, for a minute. */
void sim_play_drawn_troubles(Sim *sim);

/** Ends all troubles; fails unless everything is served then, and no machine leaks. */
void sim_serve_all(Sim *sim);

void sim_ask_odd_things(Sim *sim);

/** How many seeds a test plays: as usual, or WS_SEEDS. */
guint sim_seed_count(guint usual);

/** Plays the seeds from @first on, as many as usual or WS_SEEDS; with WS_SEED set, that one alone.
 */
void sim_play_seeds(guint32 first, guint usual, void (*play)(guint32 seed));
