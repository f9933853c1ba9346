/* SPDX-License-Identifier: BSD-3-Clause */
/* Connects to endpoints for peers that have lost their own links, and passes the bytes both ways. */
#ifndef BAYHOIST_GATE_RELAY_SERVER_H
#define BAYHOIST_GATE_RELAY_SERVER_H

#include "gate.h"
#include "peer_stream.h"

RelayServer *relay_server_new(Gate *g);
void relay_server_delete(RelayServer *r);
void relay_server_accept(RelayServer *r, PeerStream *s, const BH__Message *open);
unsigned relay_server_get_count(const RelayServer *r);
uint64_t relay_server_get_max(const Gate *g);
void relay_server_write_status(const RelayServer *r, struct evbuffer *out);

#endif
