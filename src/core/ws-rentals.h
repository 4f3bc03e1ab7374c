/**
 * Rentals of machines.
 *
 * A rental is intended in the state service before the cloud is asked, and the machines' record
 * takes the intent's place in one transaction. So a new leader knows what to ask again, under the
 * same request name, and no machine is charged for that nobody knows of. Kinds of machines (type,
 * zone, spot or ordinary) of which the cloud has none are asked for again after a back-off.
 */
#pragma once

#include "core/ws-core-private.h"

WsRentals *ws_rentals_new(void);
void ws_rentals_free(WsRentals *rentals);

/** Notes how many machines of a kind are wanted; ws_rentals_intend() writes it down. */
void ws_rentals_need(WsCore *core, guint type, guint zone, gboolean spot, guint machines);

/** Writes down what was needed since the last call. */
void ws_rentals_intend(WsCore *core);

/** Whether the cloud had none of the kind a short while ago. */
gboolean ws_rentals_no_capacity(const WsCore *core, guint type, guint zone, gboolean spot);

/** Notes whether the cloud has enough of the kind, as far as is known. */
void ws_rentals_note_capacity(WsCore *core, guint type, guint zone, gboolean spot, gboolean enough);

/** Sends what is intended to the cloud; only the leader calls it. */
void ws_rentals_tick(WsCore *core);
