/* What the parts of the core share. */
#pragma once

#include "storage/ws-replica.h"
#include "core/ws-core.h"
#include "core/ws-evidence.h"
#include "transport/ws-rate.h"

typedef void (*WsReply)(WsCore *core, guint status, const json_t *body, gpointer data);

typedef enum {
  WS_FIRST_LEASE,
  WS_FIRST_READ,
  WS_FIRST_USER,
  WS_FIRST_TASK,
  WS_FIRST_REST,
  WS_FIRST_LEVELS
} WsFirst;

typedef enum {
  WS_TXN_OK,
  WS_TXN_CONFLICT, /* a condition failed */
  WS_TXN_REFUSED,  /* not carried out, for now */
  WS_TXN_INVALID,  /* refused for its size or form, and will be again */
  WS_TXN_UNKNOWN   /* no answer: it may be carried out later */
} WsTxnResult;
typedef void (*WsTxnDone)(WsCore *core, WsTxnResult result, gpointer data);
typedef void (*WsReadDone)(WsCore *core, gboolean current, gpointer data);

typedef struct _WsTxn WsTxn;
typedef struct _WsStore WsStore;
typedef struct _WsMembers WsMembers;
typedef struct _WsAssign WsAssign;
typedef struct _WsFleet WsFleet;
typedef struct _WsRentals WsRentals;
typedef struct _WsReturns WsReturns;
typedef struct _WsCloudList WsCloudList;
typedef struct _WsPlan WsPlan;
typedef struct _WsPeerRequests WsPeerRequests;
typedef struct _WsTermination WsTermination;
typedef struct _WsCancels WsCancels;
typedef struct _WsReservations WsReservations;
typedef struct _WsWriteStats WsWriteStats;
typedef struct _WsUnproven WsUnproven;
typedef struct _WsReleases WsReleases;

typedef struct {
  gint64 heard_ms;
  const char *version; /* interned: of the program that it runs; NULL: not heard yet */
  guint64 epoch;
  gboolean store_ok;
  gboolean loaded;     /* it has read the state since it began */
  guint64 incarnation; /* of the run that was last heard */
  guint untold;        /* cancellations that it knows and this node hasn't acknowledged */
  gint64 settled_ms;   /* when it last said that it is without state service and has told all */
  gboolean in_flight;
  gint64 sent_ms;
  gboolean hears_no_worker; /* it says that no worker reaches it */
  gint64 tried_ms;          /* when a worker was last sent there all the same */
  guint relays;             /* reports on their way to it */
  guint reaches;            /* bit for each node it hears */
  guint64 acked; /* how much it has of what this node says of its machines, in this epoch */
  guint64 has;   /* how much this node has of what it says */
} WsPeer;

struct _WsCore {
  const WsSettings *settings;
  const WsProperties *properties;
  WsReplica *replica;
  guint64 incarnation;
  gint64 now;
  gint64 wall;
  GQueue outputs;
  GHashTable *calls;
  guint64 next_call;
  WsStore *store;
  WsMembers *members;
  WsAssign *assign;
  WsFleet *fleet;
  WsRentals *rentals;
  WsReturns *returns;
  WsCloudList *cloud_list;
  WsPlan *plan;
  WsPeerRequests *peer_requests;
  WsTermination *termination;
  WsCancels *cancels;
  WsReservations *reservations;
  WsWriteStats *write_stats;
  WsUnproven *unproven;
  WsReleases *releases;
  gint64 vouched_ms;     /* when this node last knew all that was confirmed to users */
  GHashTable *run_times; /* by class */
  WsPeer *peers;
  guint64 gossip_rev;         /* counts what changed about this node's machines */
  gboolean seen_from_outside; /* cut off, yet heard by machines of other zones */
  gint64 report_ms;           /* when a worker last reported to this node itself */
  gboolean hears_no_worker;   /* none does, although there are some for it */
  guint direct_calls;         /* launches on their way */
  guint status_calls;
  guint status_next; /* where the next round of status calls begins */
  guint64 plan_steps;
  guint64 plans;
  gint64 *partition_ms;      /* by zone: when it last seemed to be cut off; 0: never */
  gint64 *sure_partition_ms; /* by zone: when that was last sure */
  gboolean plan_due;
  gint64 epoch_ms; /* since when the present epoch is known */
  guint64 epoch_seen;
  gboolean is_stalled; /* stood still, and has not renewed and read since */
  gint64 upkeep_ms;
  gint64 garbage_ms;
  gboolean wants_epoch; /* a doubt can only be ended by a higher token */
};

/* ws-core.c */
void ws_call(WsCore *core, const char *method, const char *address, const char *path,
             json_t *body /* taken, may be NULL */, guint timeout_ms, WsReply reply, gpointer data);
void ws_answer(WsCore *core, gpointer request, guint status, json_t *body /* taken */,
               guint retry_after_s);
void ws_answer_reason(WsCore *core, gpointer request, guint status, const char *reason);
void ws_answer_later(WsCore *core, gpointer request, guint retry_after_s);
gboolean ws_entitled(const WsCore *core);
gboolean ws_is_leader(const WsCore *core);
gboolean ws_owns(const WsCore *core, const WsMachine *machine);
/* A new leader knows the epoch that it wrote before all that was written until then. Acting on its
   records before that is acting on another leader's past: tasks were assigned to a machine that had
   been returned, since a mark that came and went meanwhile is absent once more; an attempt that had
   been taken elsewhere was launched again, and one just assigned was halted. */
gboolean ws_knows_all_before_epoch(const WsCore *core);

/* ws-store.c */
WsStore *ws_store_new(const WsSettings *settings);
void ws_store_free(WsStore *store);
void ws_store_tick(WsCore *core);
void ws_store_pump(WsCore *core);
/* Ends what is queued and whoever waits for a read. Returns whether there was any. */
gboolean ws_store_stop(WsCore *core);
gboolean ws_store_loaded(const WsCore *core);
gboolean ws_store_ok(const WsCore *core);
/* The replica is as new as the store, but for what is on its way. */
gboolean ws_store_current(const WsCore *core);
/* Since when there are only bad answers or none; 0: not so. */
gint64 ws_store_bad_since(const WsCore *core);
/* Whether the budget has room for so many changes now. */
gboolean ws_store_may_write(WsCore *core, guint changes);
void ws_store_call(WsCore *core, WsFirst first, const char *method, const char *path,
                   json_t *body /* taken */, guint writes, guint timeout_ms, WsReply reply,
                   gpointer data);
/* Calls back once the replica is as new as the store was after this call. */
void ws_store_read(WsCore *core, WsReadDone done, gpointer data);

/* ws-txn.c */
WsTxn *ws_txn_new(void);
void ws_txn_if(WsTxn *txn, const WsReplica *replica, const char *key);
void ws_txn_if_version(WsTxn *txn, const char *key, guint64 version);
void ws_txn_set(WsTxn *txn, const char *key, json_t *value /* taken */);
void ws_txn_set_leased(WsTxn *txn, const char *key, json_t *value /* taken */, guint64 lease);
void ws_txn_remove(WsTxn *txn, const char *key);
guint ws_txn_ops(const WsTxn *txn);
void ws_txn_commit(WsCore *core, WsTxn *txn /* taken */, WsFirst first, WsTxnDone done,
                   gpointer data);
void ws_txn_free(WsTxn *txn);

/* ws-members.c */
WsMembers *ws_members_new(void);
void ws_members_free(WsMembers *members);
void ws_members_tick(WsCore *core);
/* This node stood still: it renews its lease or asks for one, and reads, before it acts again. */
void ws_members_wake(WsCore *core, gint64 now_ms);

/* ws-users.c */
void ws_users_request(WsCore *core, const char *method, const char *path, const char *body,
                      gsize length, gpointer request);

/* ws-workers.c */
void ws_workers_report(WsCore *core, const char *body, gsize length, gpointer request);
/* The answer to a report of a machine that this node owns. */
json_t *ws_workers_process(WsCore *core, const WsReport *report);
/* Believes what a message says of tasks that are there; concludes nothing from absence. */
/* Returns FALSE for a message older than one that was seen before. */
gboolean ws_workers_presence(WsCore *core, WsMachine *machine, const WsReport *report);

/* ws-cancel.c */
WsCancels *ws_cancels_new(const WsSettings *settings);
void ws_cancels_free(WsCancels *cancels);
/* By the records or by a peer's word: the job's user was told that it is cancelled. */
gboolean ws_cancel_is_known(const WsCore *core, const WsJob *job);
/* How many cancellations the node has neither told of nor acknowledged. */
guint ws_cancel_count_unacknowledged(const WsCore *core, guint node);
void ws_cancel_peer_began_anew(WsCore *core, guint node);
void ws_cancel_taken(WsCore *core, const json_t *message, gpointer request);
/* Halts for what the report shows of cancelled jobs. */
void ws_cancel_add_halts(const WsCore *core, const WsReport *report, json_t *commands);
void ws_cancel_pump(WsCore *core);

/* ws-failure-detector.c */
void ws_failure_detector_tick(WsCore *core);
/* As of the last tick. */
gboolean ws_zone_partitioned(const WsCore *core, guint zone);
gboolean ws_machine_up(const WsCore *core, const WsMachine *machine);
/* Its reports come, but what it's told doesn't reach it. */
gboolean ws_machine_outbound_unreachable(const WsCore *core, const WsMachine *machine);
/* It can be called, but its reports reach nobody. */
gboolean ws_machine_inbound_unreachable(const WsCore *core, const WsMachine *machine);
gboolean ws_machine_silent(const WsCore *core, const WsMachine *machine);

/* ws-mesh.c */
void ws_mesh_tick(WsCore *core);
void ws_mesh_request(WsCore *core, const char *path, const char *body, gsize length,
                     gpointer request);
gboolean ws_mesh_reaches(const WsCore *core, guint node);
gboolean ws_mesh_sees(const WsCore *core, guint from, guint to);
gboolean ws_mesh_alone_refused(const WsCore *core);
/* Neither the state service nor any other node is reached. */
gboolean ws_mesh_isolated(const WsCore *core);
/* Nothing that was confirmed to a user is missed by this node. */
gboolean ws_knows_all_cancellations(const WsCore *core);
/* Whether a lease that is renewed now ends in time for whatever is missed. */
gboolean ws_may_renew_lease(const WsCore *core);
void ws_mesh_new_epoch(WsCore *core);
void ws_mesh_relay(WsCore *core, guint owner, const char *report, gpointer request);

/* ws-peer-requests.c */
WsPeerRequests *ws_peer_requests_new(const WsSettings *settings);
void ws_peer_requests_free(WsPeerRequests *peer_requests, const WsSettings *settings);
void ws_peer_request_release(WsCore *core, const WsRelease *release);
void ws_peer_request_assignment(WsCore *core, const WsJob *job, guint task,
                                const WsMachine *machine);
void ws_peer_request_mark(WsCore *core, const WsMachine *machine, const char *why, gboolean now);
/* machine: WS_NONE for any */
void ws_peer_request_reservation(WsCore *core, const WsJob *job, guint machine, guint tasks);
void ws_peer_request_stop(WsCore *core, guint node, const WsJob *job, const WsAssignment *a);
void ws_peer_requests_taken(WsCore *core, const json_t *message, gpointer request);
void ws_peer_requests_forget(WsCore *core);
void ws_peer_requests_pump(WsCore *core);

/* ws-assign.c */
/* The key of a task in hash tables. */
static inline gpointer
ws_task_key(guint job, guint task)
{
  return GSIZE_TO_POINTER((gsize)job * WS_MAX_TASKS + task + 1);
}
WsAssign *ws_assign_new(void);
void ws_assign_free(WsAssign *assign);
void ws_assign_propose(WsCore *core, guint job, guint task, guint machine);
gboolean ws_assign_pending(const WsCore *core, guint job, guint task);
gboolean ws_assign_idle(const WsCore *core);
/* Whether assignments or ends of tasks wait to be written. */
gboolean ws_assign_is_behind(const WsCore *core);
/* For how long the oldest assignment has waited to be written. */
gint64 ws_assign_oldest_ms(const WsCore *core);
void ws_assign_pump(WsCore *core);
/* In a new epoch the owners of machines, and with them what was proposed, may be others. */
void ws_assign_note_epoch(WsCore *core);
typedef void (*WsProposalFunc)(const WsJob *job, guint machine, gpointer data);
/* What was handed in to the leader and has not come back through the store yet. */
void ws_assign_each_forwarded(const WsCore *core, WsProposalFunc take, gpointer data);
/* Whether the rules on zones let one more task of the job be in the zone. counts: by zone. */
gboolean ws_zone_allowed(const WsJob *job, const guint *counts, guint zones, guint zone);

/* ws-estimator.c */
GHashTable *ws_estimator_new(void);
void ws_estimator_add(WsCore *core, const WsJob *job, const WsAssignment *a);
/* The owner's estimate, corrected by what tasks of the class have taken. */
double ws_estimator_run_s(const WsCore *core, const WsJob *job);

/* ws-queue.c */
/* A job that has waited so long for its first task comes before guarantees and priorities, critical
   work excepted. Whatever favours small or late jobs, age wins in the end. */
#define WS_BEGIN_WITHIN_S 120.0
/* As many tasks of a job that begins so late are placed before all else, and aren't stopped again
   for anything but critical work. */
guint ws_queue_protected_tasks(const WsJob *job);
/* Whether the job has waited too long for its first task. */
gboolean ws_queue_is_overdue(const WsCore *core, const WsJob *job);
typedef struct {
  WsJob *job;
  guint lateness;      /* 0: can be in time; 1: within half as long again; 2: late anyway */
  gboolean is_overdue; /* it has waited too long for its first task */
  double weight;       /* what is left to start, less for what has waited */
} WsWaiting;
/* The open jobs, the most urgent first; also says which are within a guarantee. */
GArray *ws_queue_jobs(const WsCore *core); /* of WsWaiting */

/* ws-plan.c */
WsPlan *ws_plan_new(void);
void ws_plan_free(WsPlan *plan);
void ws_plan_tick(WsCore *core);
guint ws_plan_home(WsCore *core, const WsSubmission *spec);

/* ws-demand.c: what the leader would have to rent. */
typedef struct _WsDemand WsDemand;
WsDemand *ws_demand_new(WsCore *core);
void ws_demand_add(WsDemand *demand, const WsJob *job, guint tasks);
/* The same for a gang: all its machines are in one zone, where that is asked for. */
void ws_demand_add_gang(WsDemand *demand, const WsJob *job, guint tasks);
void ws_demand_end(WsDemand *demand); /* takes it */
/* Whether the places kept for critical jobs are there without the machine too. */
gboolean ws_spare_without(const WsCore *core, const WsMachine *machine);

/* ws-preempt.c */
typedef struct {
  WsAmount free;   /* room now, less what this plan gave away */
  WsAmount coming; /* what tasks that are being stopped will leave */
  gboolean usable;
  gboolean has_service;
} WsSlot;
/* Whether the job may have the other one's task stopped. */
gboolean ws_preempt_allowed(const WsCore *core, const WsJob *job, const WsJob *victim);
/* The same once so many of the other one's tasks are on machines. */
gboolean ws_preempt_outranks(const WsCore *core, const WsJob *job, const WsJob *victim,
                             guint victim_tasks_on);
/* Stops the cheapest tasks that make room on the machine; the cost says how much work is lost,
   negative: it can't be done. */
double ws_preempt_cost(const WsCore *core, const WsJob *job, const WsMachine *machine,
                       const WsSlot *slot);
void ws_preempt(WsCore *core, const WsJob *job, WsMachine *machine, WsSlot *slot);
/* Whether the type, zone and kind of the machine are allowed. */
gboolean ws_plan_allowed(const WsReplica *replica, const WsSubmission *spec, guint zone,
                         const WsMachine *machine);
/* Processors of the smallest allowed type that has room for one task. */
gint64 ws_smallest_room(const WsReplica *replica, const WsSubmission *spec);
gboolean ws_type_allowed(const WsSubmission *spec, const WsType *type);
/* Whether the job could start on the machine if so much more of it were free. */
typedef gboolean (*WsPlaceFunc)(const WsMachine *machine, const WsAmount *freed, gpointer data);
typedef enum {
  WS_TEAM_FULL,      /* with work that may not be stopped for the job */
  WS_TEAM_NO_PLACE,  /* stops would make room in the team, but the job has no place to start */
  WS_TEAM_ROOM_COMES /* tasks are being stopped */
} WsTeamRoom;
/* Stops less urgent tasks of the job's own team, the youngest first, until the team's limit leaves
   room for one task of the job. Nothing is stopped unless that task can then start: either it has a
   place, or makes_place says that the end of one of the stopped tasks leaves it one. use: of the
   team, as planned. The machines of what stops are appended to machines (of guint). */
WsTeamRoom ws_preempt_in_team(WsCore *core, const WsJob *job, const WsAmount *use,
                              gboolean has_place, WsPlaceFunc makes_place, gpointer data,
                              GArray *machines);

/* ws-consolidation.c: machines whose work fits on others. */
void ws_consolidation_tick(WsCore *core);

/* ws-garbage.c */
void ws_garbage_tick(WsCore *core);

/* ws-termination.c */
gboolean ws_termination_allowed(const WsCore *core, const WsMachine *machine);
WsTermination *ws_termination_new(void);
void ws_termination_free(WsTermination *termination);
void ws_termination_tick(WsCore *core);
/* The leader writes the marks that were asked for. */
void ws_termination_pump(WsCore *core);
void ws_termination_mark(WsCore *core, WsMachine *machine, const char *why, gboolean now);
gboolean ws_termination_may_stop(WsCore *core, WsMachine *machine, WsJob *job,
                                 const WsAssignment *assignment);
