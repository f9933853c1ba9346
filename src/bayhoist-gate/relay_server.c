/* SPDX-License-Identifier: BSD-3-Clause */
/* The far end of relay_channel.c. This node is the one that the endpoint sees, so it looks at the endpoint
 * once more before it connects, and takes the signals of the answer as of one of its own. It never asks
 * another peer in turn. */
#include "relay_server.h"

#include <string.h>
#include "answer_parser.h"
#include "channel.h"
#include "clock.h"
#include "links.h"
#include "log.h"

/* Bytes that wait for the peer before reading from the endpoint pauses; fewer under the memory budget. */
#define QUEUED_MAX (128 * 1024)
/* Requests of peers at the same time, as a share of the connections that callers may open. */
#define RELAYS_SHARE 8
#define PATIENCE_MAX_US (400 * BH__MS_US) /* for connecting, whatever the peer asks for */

/* One request of a peer. */
typedef struct {
	RelayServer *server;
	PeerStream *stream; /* to the peer */
	Channel *channel;   /* to the endpoint; NULL: it has ended */
	AnswerParser *parser;
	uint64_t endpoint_id;
	uint64_t incarnation; /* of the endpoint, see bh__registry_note_start() */
	uint64_t from_node;
	char request_id[BH__REQUEST_ID_LEN];
	uint64_t began_us;
	uint64_t bytes_in;  /* from the peer */
	uint64_t bytes_out; /* to the peer */
	bool is_probe;      /* no request follows, and this node does not look in turn */
	bool is_open;
	bool has_head;  /* the head of the answer has been read, or is none */
	bool is_paused; /* reading from the endpoint pauses until the peer has caught up */
} Relay;

struct RelayServer {
	Gate *gate;
	GHashTable *relays; /* set of Relay */
	uint64_t opened;
	uint64_t refused;
	uint64_t bytes;
};

static BH__RelayResult admit_(const RelayServer *r, const BH__RegisteredEndpoint *e);
static void reply_(const RelayServer *r, PeerStream *s, BH__RelayResult result);
static void on_message_(void *ctx, const BH__Message *m);
static void on_drained_(void *ctx);
static void on_closed_(void *ctx);
static void on_open_(void *ctx, Channel *c);
static void on_data_(void *ctx, Channel *c, struct evbuffer *data);
static void note_heard_(const Relay *y);
static void read_head_(Relay *y, struct evbuffer *data);
static void on_channel_drained_(void *ctx, Channel *c);
static void on_channel_end_(void *ctx, Channel *c, ChannelEnd end);
static void reply_failed_(Relay *y, ChannelEnd end);
static void on_head_(void *ctx, const OutboundHead *head);
static void delete_(Relay *y);

static const PeerStreamCallbacks StreamCallbacks_ = {
	.on_message = on_message_, .on_drained = on_drained_, .on_closed = on_closed_};
static const ChannelCallbacks ChannelCallbacks_ = {
	.on_open = on_open_, .on_data = on_data_, .on_drained = on_channel_drained_, .on_end = on_channel_end_};

RelayServer *relay_server_new(Gate *g)
{
	RelayServer *r = g_new0(RelayServer, 1);

	r->gate = g;
	r->relays = g_hash_table_new(g_direct_hash, g_direct_equal);
	return r;
}

/* Breaks off all requests of peers and frees `r`, which may be NULL. */
void relay_server_delete(RelayServer *r)
{
	GList *all;

	if (!r)
		return;
	all = g_hash_table_get_keys(r->relays);
	for (GList *it = all; it; it = it->next)
		delete_(it->data);
	g_list_free(all);
	g_hash_table_unref(r->relays);
	g_free(r);
}

/* Returns the number of requests of peers that go through this node now. */
unsigned relay_server_get_count(const RelayServer *r)
{
	return g_hash_table_size(r->relays);
}

/* Returns the number of requests of peers that may go through this node at the same time. */
uint64_t relay_server_get_max(const Gate *g)
{
	return g->settings.max_connections / RELAYS_SHARE;
}

/* Begins to connect to the endpoint that a peer names, or says why not. Takes over the stream. */
void relay_server_accept(RelayServer *r, PeerStream *s, const BH__Message *open)
{
	const BH__RegisteredEndpoint *e = bh__registry_find(r->gate->registry, open->as.relay_open.endpoint_id);
	BH__RelayResult result = admit_(r, e);
	AnswerCallbacks answer = {.on_head = on_head_}; /* which ends the parser, so that no body comes */
	Relay *y = g_new0(Relay, 1);

	y->server = r;
	y->stream = s;
	y->from_node = open->from_node;
	y->endpoint_id = open->as.relay_open.endpoint_id;
	y->is_probe = open->as.relay_open.is_probe;
	y->began_us = clock_now_us();
	g_strlcpy(y->request_id, open->as.relay_open.request_id, sizeof y->request_id);
	peer_stream_set_callbacks(s, &StreamCallbacks_, y);
	answer_buffer_count(r->gate, peer_stream_get_output(s));
	g_hash_table_add(r->relays, y);
	if (result != BH__RELAY_OPENED) {
		r->refused++;
		log_event("relay", "what=refused request=%s from=%s cause=%s", y->request_id,
				  links_get_name(r->gate->links, y->from_node), BH__RelayResultString[result]);
		reply_(r, s, result);
		return;
	}
	y->parser = answer_parser_new(r->gate, false, &answer, y);
	y->channel = direct_channel_new(r->gate, e->entry.address, open->as.relay_open.request_bytes,
									MIN(open->as.relay_open.time_us, PATIENCE_MAX_US), &ChannelCallbacks_, y);
}

/* Returns whether this node may connect to an endpoint for a peer now. */
static BH__RelayResult admit_(const RelayServer *r, const BH__RegisteredEndpoint *e)
{
	const Gate *g = r->gate;

	if (g->shutdown.began_us)
		return BH__RELAY_NODE_LEAVING;
	if (links_are_cut(g->links))
		return BH__RELAY_NODE_CUT;
	if (g_hash_table_size(r->relays) >= relay_server_get_max(g))
		return BH__RELAY_NODE_FULL;
	if (!e || !bh__registered_endpoint_accepts_requests(e, clock_now_us()))
		return BH__RELAY_ENDPOINT_UNUSABLE;
	if (links_has_lost_path(g->links, e->endpoint_id))
		return BH__RELAY_NODE_DOUBTFUL;
	return BH__RELAY_OPENED;
}

static void reply_(const RelayServer *r, PeerStream *s, BH__RelayResult result)
{
	BH__Message m = {.type = BH__MESSAGE_RELAY_REPLY};

	m.as.relay_reply.result = result;
	links_fill_sender(r->gate->links, &m);
	peer_stream_send(s, &m);
}

/* Passes a part of the request on. Reading pauses while the endpoint does not take it. */
static void on_message_(void *ctx, const BH__Message *m)
{
	Relay *y = ctx;
	struct evbuffer *data;

	if (m->type != BH__MESSAGE_RELAY_DATA || !y->is_open || !y->channel)
		return;
	data = evbuffer_new();
	evbuffer_add(data, m->as.relay_data.bytes, m->as.relay_data.len);
	y->bytes_in += m->as.relay_data.len;
	y->channel->ops->write(y->channel, data);
	evbuffer_free(data);
	peer_stream_pause(y->stream, true);
}

/* Reads on from the peer once the endpoint has taken what was sent. */
static void on_channel_drained_(void *ctx, Channel *c)
{
	Relay *y = ctx;

	(void)c;
	peer_stream_pause(y->stream, false);
}

/* Tells the peer that the endpoint is connected. */
static void on_open_(void *ctx, Channel *c)
{
	Relay *y = ctx;
	Gate *g = y->server->gate;

	(void)c;
	y->is_open = true;
	y->server->opened++;
	y->incarnation = bh__registry_note_start(g->registry, y->endpoint_id, clock_now_us());
	links_note_connected(g->links, y->endpoint_id, clock_now_us() - y->began_us);
	log_event("relay", "what=opened request=%s from=%s endpoint=%s", y->request_id,
			  links_get_name(g->links, y->from_node), links_get_endpoint(g->links, y->endpoint_id));
	reply_(y->server, y->stream, BH__RELAY_OPENED);
}

/* Passes a part of the answer on. Reading from the endpoint pauses while the peer does not take it. */
static void on_data_(void *ctx, Channel *c, struct evbuffer *data)
{
	Relay *y = ctx;

	note_heard_(y);
	if (!y->has_head)
		read_head_(y, data);
	y->bytes_out += evbuffer_get_length(data);
	links_send_bytes(y->server->gate->links, y->stream, data);
	if (evbuffer_get_length(peer_stream_get_output(y->stream)) >=
			answer_buffer_get_max(y->server->gate, QUEUED_MAX) &&
		!y->is_paused) {
		y->is_paused = true;
		c->ops->pause(c, true);
	}
}

/* Records that the endpoint goes on with its requests: those of peers count as this node's own when it is
 * compared with one that is silent. */
static void note_heard_(const Relay *y)
{
	const Gate *g = y->server->gate;
	BH__RegisteredEndpoint *e = bh__registry_find(g->registry, y->endpoint_id);

	if (e && e->incarnation == y->incarnation)
		bh__signal_relay_note_heard(g->signal_relay, e, clock_now_us());
}

/* Parses a copy of the first bytes of the answer, up to the end of its head; nothing here needs the body, and
 * nothing that is no answer is believed. */
static void read_head_(Relay *y, struct evbuffer *data)
{
	struct evbuffer *copy = evbuffer_new();

	evbuffer_add(copy, evbuffer_pullup(data, -1), evbuffer_get_length(data));
	if (answer_parser_read(y->parser, copy) == ANSWER_BAD)
		y->has_head = true;
	evbuffer_free(copy);
}

/* Reads on from the endpoint once the peer has taken what was sent. */
static void on_drained_(void *ctx)
{
	Relay *y = ctx;

	if (!y->is_paused || !y->channel)
		return;
	y->is_paused = false;
	y->channel->ops->pause(y->channel, false);
}

/* Records the load and the signals of the endpoint that are in the head of its answer, unless another
 * endpoint or another system gave it. */
static void on_head_(void *ctx, const OutboundHead *head)
{
	Relay *y = ctx;
	Gate *g = y->server->gate;
	uint64_t now_us = clock_now_us();
	AnswerOrigin origin = {.endpoint_id = y->endpoint_id,
						   .incarnation = y->incarnation,
						   .sent_us = y->began_us,
						   .received_us = now_us,
						   .status = head->status,
						   .is_served = !head->meta.not_run && head->meta.has_mac,
						   .request_id = y->request_id};
	BH__AnswerHead answer = {.status = head->status, .not_run = head->meta.not_run};

	y->has_head = true;
	answer_parser_end(y->parser);
	bh__answer_head_set_origin(&answer, y->request_id, head->meta.request_id, head->meta.has_mac);
	if (bh__answer_head_is_foreign(&answer) || g->port->status_says_not_run(head->status))
		return;
	if (head->meta.has_load)
		bh__registry_note_load(g->registry, y->endpoint_id, head->meta.running, head->meta.waiting, now_us);
	signals_note_answer(g, &origin, &head->meta);
}

/* Tells the peer that the endpoint could not be connected to. The fault may be that of this node's links. */
static void reply_failed_(Relay *y, ChannelEnd end)
{
	Links *links = y->server->gate->links;
	BH__RelayResult result = end == CHANNEL_REFUSED ? BH__RELAY_ENDPOINT_REFUSED : BH__RELAY_ENDPOINT_SILENT;

	y->server->refused++;
	links_note_failed(links, y->endpoint_id, end == CHANNEL_REFUSED);
	if (links_is_doubtful(links, y->endpoint_id))
		result = BH__RELAY_NODE_DOUBTFUL;
	reply_(y->server, y->stream, result);
	if (!y->is_probe)
		links_verify(links, y->endpoint_id);
}

/* Tells the peer how the channel to the endpoint ended. The peer closes the stream then, which is noticed
 * only while it is read. */
static void on_channel_end_(void *ctx, Channel *c, ChannelEnd end)
{
	Relay *y = ctx;
	BH__Message m = {.type = BH__MESSAGE_RELAY_END};

	(void)c;
	y->channel = NULL;
	if (!y->is_open) {
		reply_failed_(y, end);
		return;
	}
	m.as.relay_end.is_clean = end == CHANNEL_CLOSED;
	links_fill_sender(y->server->gate->links, &m);
	peer_stream_send(y->stream, &m);
	peer_stream_pause(y->stream, false);
}

/* The peer has closed the stream: it has the whole answer, nobody waits for it, or it does not wait for the
 * endpoint any longer. */
static void on_closed_(void *ctx)
{
	Relay *y = ctx;

	answer_buffer_stop_counting(y->server->gate, peer_stream_get_output(y->stream));
	y->stream = NULL;
	delete_(y);
}

/* Closes a relay, logs it and frees it. */
static void delete_(Relay *y)
{
	Gate *g = y->server->gate;
	uint64_t now_us = clock_now_us();

	if (y->is_open) {
		bh__registry_note_end(g->registry, y->endpoint_id, y->incarnation, BH__ENDPOINT_OUTCOME_ABANDONED,
							  now_us);
		log_event("relay",
				  "what=ended request=%s from=%s bytes_in=%" G_GUINT64_FORMAT " bytes_out=%" G_GUINT64_FORMAT
				  " took_ms=%" G_GUINT64_FORMAT,
				  y->request_id, links_get_name(g->links, y->from_node), y->bytes_in, y->bytes_out,
				  (now_us - y->began_us) / BH__MS_US);
	}
	y->server->bytes += y->bytes_in + y->bytes_out;
	g_hash_table_remove(y->server->relays, y);
	if (y->channel && !y->is_open && !y->is_probe)
		links_verify(g->links, y->endpoint_id);
	if (y->channel)
		y->channel->ops->close(y->channel);
	if (y->stream) {
		answer_buffer_stop_counting(g, peer_stream_get_output(y->stream));
		peer_stream_close(y->stream);
	}
	if (y->parser)
		answer_parser_delete(y->parser);
	g_free(y);
}

/* Writes what goes through this node for peers, as metrics. */
void relay_server_write_status(const RelayServer *r, struct evbuffer *out)
{
	evbuffer_add_printf(out,
						"bayhoist_relays %u\n"
						"bayhoist_relays_total{what=\"opened\"} %" G_GUINT64_FORMAT "\n"
						"bayhoist_relays_total{what=\"refused\"} %" G_GUINT64_FORMAT "\n"
						"bayhoist_relay_bytes_total %" G_GUINT64_FORMAT "\n",
						g_hash_table_size(r->relays), r->opened, r->refused, r->bytes);
}
