/* SPDX-License-Identifier: BSD-3-Clause */
/* Connections between nodes: typed messages in authenticated frames. */
#ifndef BAYHOIST_SHARE_PEERS_H
#define BAYHOIST_SHARE_PEERS_H

#include <event2/event.h>
#include "bayhoist/message.h"
#include "peer_stream.h"

typedef struct Peers Peers;

typedef struct {
	struct event_base *base;
	const char *address; /* IP:port to listen on */
	const char *key;     /* that all nodes share */
	const char *source;  /* IP from which nodes are connected to; NULL or empty: any */
	void (*on_message)(void *ctx, const BH__Message *m);
	void (*on_unreachable)(void *ctx, const char *address);
	/* A peer opens a stream with this message; the receiver owns the stream. NULL: streams are refused. */
	void (*on_stream)(void *ctx, PeerStream *s, const BH__Message *m);
	void *ctx;
} PeersOptions;

typedef struct {
	uint64_t bytes_out;
	uint64_t bytes_in;
	uint64_t messages_out;
	uint64_t messages_in;
	uint64_t type_bytes_out[BH__MESSAGE_TYPE_COUNT]; /* with their frames */
	uint64_t type_messages_out[BH__MESSAGE_TYPE_COUNT];
} PeersCounters;

Peers *peers_new(const PeersOptions *options);
void peers_delete(Peers *p);
void peers_send(Peers *p, const char *address, const BH__Message *m);
const PeersCounters *peers_get_counters(const Peers *p);

#endif
