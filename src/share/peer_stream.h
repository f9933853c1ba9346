/* SPDX-License-Identifier: BSD-3-Clause */
/* A connection between two nodes that carries one exchange of messages in both directions, beside the
 * connections of peers.h, which all exchanges share. Whoever sends slows down when the other side does not
 * read. */
#ifndef BAYHOIST_SHARE_PEER_STREAM_H
#define BAYHOIST_SHARE_PEER_STREAM_H

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include "bayhoist/message.h"
#include "frame.h"

typedef struct PeerStream PeerStream;

/* on_closed() is called once when the connection can't be set up, breaks, or is closed by the other side; the
 * stream is freed afterwards. on_drained() is called when all that was sent has been passed to the kernel. */
typedef struct {
	void (*on_message)(void *ctx, const BH__Message *m);
	void (*on_drained)(void *ctx);
	void (*on_closed)(void *ctx);
} PeerStreamCallbacks;

PeerStream *peer_stream_open(struct event_base *base, const char *address, const char *key,
							 const PeerStreamCallbacks *cb, void *ctx);
PeerStream *peer_stream_accept(struct bufferevent *bev, const FrameSession *received);
void peer_stream_set_callbacks(PeerStream *s, const PeerStreamCallbacks *cb, void *ctx);
void peer_stream_send(PeerStream *s, const BH__Message *m);
void peer_stream_send_bytes(PeerStream *s, uint64_t node_id, uint64_t boot_id, struct evbuffer *data);
struct evbuffer *peer_stream_get_output(const PeerStream *s);
void peer_stream_pause(PeerStream *s, bool paused);
void peer_stream_close(PeerStream *s);

#endif
