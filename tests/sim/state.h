/* The state service of the simulated world. */
#pragma once

#include <glib.h>
#include <jansson.h>

typedef struct _SimState SimState;
typedef void (*SimReply)(gpointer data, guint status, json_t *body /* taken */);

SimState *sim_state_new(void);
void sim_state_free(SimState *state);
void sim_state_tick(SimState *state, gint64 now_ms, gboolean out);
/* The watch is answered when something changes; everything else at once. */
void sim_state_request(SimState *state, gint64 now_ms, const char *method, const char *path,
                       const json_t *body, SimReply reply, gpointer data);
/* From now on larger transactions and values get 400; what is stored stays readable. */
void sim_state_set_limits(SimState *state, guint max_operations, gsize max_value_bytes);
/* Transactions that were refused for their size. */
guint sim_state_refused_for_size(const SimState *state);
guint sim_state_count(const SimState *state, const char *prefix);
/* Whether a record below the prefix lists the name. */
gboolean sim_state_names(const SimState *state, const char *prefix, const char *name);
gboolean sim_state_has(const SimState *state, const char *key);
const json_t *sim_state_get(const SimState *state, const char *key); /* NULL: no such key */
