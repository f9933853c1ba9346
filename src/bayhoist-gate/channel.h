/* SPDX-License-Identifier: BSD-3-Clause */
/* A byte channel to an endpoint, for one request: over a connection of this node's (direct_channel.c) or
 * through a peer that connects to the endpoint (relay_channel.c). */
#ifndef BAYHOIST_GATE_CHANNEL_H
#define BAYHOIST_GATE_CHANNEL_H

#include <event2/buffer.h>
#include "gate.h"

typedef struct Channel Channel;

typedef enum {
	/* the endpoint closed the open channel in an orderly way, has been sent the whole request, and nothing
	 * failed in either direction: only then is an answer whole whose end nothing else tells */
	CHANNEL_CLOSED,
	CHANNEL_BROKEN, /* the open channel broke, or was closed before the request had been sent to its end */
	CHANNEL_LOST, /* the open channel was lost on the way to the peer, which tells nothing of the endpoint */
	CHANNEL_REFUSED, /* it could not be opened: the connection to the endpoint was refused */
	CHANNEL_SILENT,  /* it could not be opened in time */
	CHANNEL_NO_PEER  /* it could not be opened: no peer is there that could tell more */
} ChannelEnd;

/* Receivers of what happens on a channel. on_end() is called once, from the event loop; the channel is freed
 * afterwards. on_drained() is called when all that was written has been passed on. on_answer_end(), which may
 * be NULL, is called when the endpoint has ended its side in an orderly way while the request is still being
 * sent: on_end() follows when it is known whether the endpoint took the rest. */
typedef struct {
	void (*on_open)(void *ctx, Channel *c);
	void (*on_data)(void *ctx, Channel *c, struct evbuffer *data);
	void (*on_drained)(void *ctx, Channel *c);
	void (*on_answer_end)(void *ctx, Channel *c);
	void (*on_end)(void *ctx, Channel *c, ChannelEnd end);
} ChannelCallbacks;

/* What a kind of channel does. */
typedef struct {
	void (*write)(Channel *c,
				  struct evbuffer *data);   /* moves the bytes out of `data`; only once it is open */
	void (*pause)(Channel *c, bool paused); /* pauses or resumes reading */
	void (*close)(Channel *c);              /* closes and frees it without on_end() */
} ChannelOps;

struct Channel {
	const ChannelOps *ops;
	ChannelCallbacks cb;
	void *ctx;
};

Channel *direct_channel_new(Gate *g, const char *address, uint64_t request_bytes, uint64_t patience_us,
							const ChannelCallbacks *cb, void *ctx);
Channel *relay_channel_new(Gate *g, uint64_t endpoint_id, const char *request_id, uint64_t request_bytes,
						   uint64_t patience_us, const ChannelCallbacks *cb, void *ctx);

#endif
