/**
 * A simulated cluster in memory: whole controllers, a store, a cloud, workers and users that follow
 * their published protocols, and a network that loses, delays and duplicates messages. The
 * invariants are checked whenever a task starts and whenever a user is answered.
 *
 * Everything follows from one seed.
 */
#pragma once

#include "core/ws-core.h"

#define SIM_NODES 3
#define SIM_CHECKPOINT_S 10.0
#define SIM_SAVE_S 2.0

typedef struct _Sim Sim;

/* What befalls a machine for so many seconds. */
typedef void (*SimMachineFault)(Sim *sim, guint machine, double seconds);

typedef struct {
  double lose;   /* chance that a request or its answer is lost */
  double repeat; /* chance that a request arrives twice */
  double late;   /* chance that a request arrives long after its caller gave up */
} SimNet;

/* Faults may be set and ended at any time. */
typedef struct {
  SimNet net;
  gboolean store_unavailable; /* the store answers 503 */
  guint store_refuses_nodes;  /* bit for each node that alone is refused */
  guint partitioned_zones;    /* bit for each zone that is partitioned from the others */
  guint unreachable_nodes;    /* bit for each node that no worker reaches, nor it them */
  double
      delayed_transactions; /* chance that a transaction gets no answer and is carried out late */
  gint64 store_delay_ms;    /* by which an answer of the store may be delayed */
  guint isolated_nodes;     /* bit for each node that reaches neither the store nor other nodes */
  double duplicated_heartbeats; /* chance that a copy of a heartbeat arrives late, up to several
                                   leases */
  guint max_machines;           /* that the cloud has in all; 0: any number */
  gboolean cloud_unavailable;
  gboolean cloud_is_full;
} SimFaults;

typedef struct {
  guint tasks;
  gboolean service;
  const char *team;
  const char *priority;
  gboolean scatter;
  gboolean spot;
  gboolean one_zone;
  gboolean gang;    /* it saves every SIM_CHECKPOINT_S, and takes SIM_SAVE_S to save when stopped */
  const char *zone; /* the only one allowed; NULL: any */
  double run_s;
} SimJob;

Sim *sim_new(guint32 seed);
void sim_free(Sim *sim);
/* The heartbeat interval and the lease of workers; to be set before anything runs. */
void sim_set_pace(Sim *sim, double report_s, double lease_s);
SimFaults *sim_faults(Sim *sim);
GRand *sim_rand(Sim *sim);
WsProperties *sim_properties(Sim *sim); /* of all nodes */
gint64 sim_now(const Sim *sim);
void sim_run(Sim *sim, double seconds);
void sim_crash_node(Sim *sim, guint node, double back_after_s);
/* The process is paused while its clocks run on. */
void sim_pause_node(Sim *sim, guint node, double seconds);
gboolean sim_node_up(const Sim *sim, guint node);
void sim_submit(Sim *sim, const SimJob *job);
void sim_cancel_any(Sim *sim);
void sim_cancel(Sim *sim, guint job);
/* Users cancel this part of the jobs at the end of a task of theirs. */
void sim_cancel_at_completion(Sim *sim, double part);
/* Users ask about jobs that nobody submitted, cancel what is done, repeat submissions, and send
   some that can't run or lack a field: each must get its answer, or a refusal for now. */
void sim_send_malformed_requests(Sim *sim);
/* How often attempts of the gang started, lost a task while they ran, and were stopped with their
   progress saved. */
guint sim_gang_starts(const Sim *sim, guint job);
guint sim_gang_losses(const Sim *sim, guint job);
guint sim_gang_saves(const Sim *sim, guint job);
/* Violates an invariant on purpose: the task starts on the machine, whatever anybody decided. */
void sim_force_start(Sim *sim, guint machine, guint job, guint task);
/* A machine with a running task of the job, by its place; G_MAXUINT: there is none. */
guint sim_machine_running(const Sim *sim, guint job);
guint sim_draw_machine(Sim *sim); /* that is up; G_MAXUINT: none */
void sim_stall_machine(Sim *sim, guint machine, double seconds);
/* Its heartbeats arrive, but neither answers nor commands reach it. */
void sim_block_outbound(Sim *sim, guint machine, double seconds);
/* Its heartbeats reach no controller, while direct commands reach it. */
void sim_block_inbound(Sim *sim, guint machine, double seconds);
/* The settings announce lower limits of the store, which nodes keep to from now on. */
void sim_announce_limits(Sim *sim, guint ops, gsize bytes);
/* The store has such limits from now on. */
void sim_lower_limits(Sim *sim, guint ops, gsize bytes);
/* Transactions that it has refused for their size. */
guint sim_rejected_for_size(const Sim *sim);
/* The node that leads, as the store has it; G_MAXUINT: none. */
guint sim_leader(const Sim *sim);
gboolean sim_is_told_cancelled(const Sim *sim, guint job);
guint sim_count_running(const Sim *sim, guint job); /* its tasks that run now */
/* A random machine that is up dies, or stalls for a while. */
void sim_kill_any_machine(Sim *sim);
void sim_stall_any_machine(Sim *sim, double seconds);
void sim_interrupt_any_machine(Sim *sim, double seconds);
void sim_interrupt_machine(Sim *sim, guint machine, double seconds); /* if it may be taken back */
/* Its heartbeats arrive, but neither answers nor commands reach it. */
void sim_block_outbound_of_any(Sim *sim, double seconds);
/* A random machine is back within a fraction of a second, as a new incarnation. */
void sim_restart_any_machine(Sim *sim);
/* All faults end: from now on no accepted job may go unanswered for long, or wait for long while
   there is free capacity that fits it. */
void sim_end_faults(Sim *sim);

/* Tasks that started more than a moment after their user was told that they are cancelled. */
guint sim_late_starts(const Sim *sim);
guint sim_count_jobs(const Sim *sim); /* submitted so far */
guint sim_open_jobs(const Sim *sim);  /* told accepted, and neither done nor cancelled */
guint sim_done_jobs(const Sim *sim);
guint sim_lost_tasks(const Sim *sim);     /* killed with the worker's lease */
guint sim_returned_tasks(const Sim *sim); /* that were on machines when they were returned */
gboolean sim_has_started(const Sim *sim, guint index); /* a task has run, or nobody wants it */
guint sim_machines(const Sim *sim);                    /* rented and not returned: charged for */
guint sim_machines_in(const Sim *sim, const char *zone);
guint sim_task_records(const Sim *sim);
guint sim_marks(const Sim *sim);      /* in the store */
guint sim_unrecorded(const Sim *sim); /* charged for, without a record or an open rental */
