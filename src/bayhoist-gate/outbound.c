/* SPDX-License-Identifier: BSD-3-Clause */
/* HTTP/1 requests to endpoints, each on a channel of its own. A new connection costs a round trip but avoids
 * the faults of reused ones: surplus answers, answers to a different request, and endpoints that take the
 * rest of an earlier body for the next request.
 *
 * The request goes over the first channel that opens. Usually that is a connection of this node's. If it
 * takes long or fails, a channel through a peer is opened as well, since the fault may be that of this node's
 * links; while these are known to be cut, the peer is asked first. A request is written only to a channel
 * that has opened, so one whose channels all failed has not run. */
#include "answer_parser.h"
#include "channel.h"
#include "clock.h"
#include "link_probe.h"
#include "links.h"
#include "log.h"

#include <event2/buffer.h>
#include <string.h>

/* Time for opening a channel: a few ms within a region, and some 200 ms more if a packet is lost. */
#define CONNECT_TIMEOUT_MS 400
/* Time that a head may take from its first byte to its last, and the rest of an answer of which little is
 * wanted: longer than a path that loses all packets for a second takes to be heard again. */
#define REST_TIMEOUT_MS 2000

struct Outbound {
	Gate *gate;
	uint64_t endpoint_id;
	char address[BH__ADDRESS_LEN];
	char request_id[BH__REQUEST_ID_LEN];
	struct evbuffer *request; /* the request's bytes, until a channel has opened */
	uint64_t request_bytes;
	AnswerParser *parser;
	OutboundCallbacks cb;
	void *ctx;           /* first argument of the callbacks */
	Channel *direct;     /* this node's connection; NULL: none */
	Channel *relay;      /* the channel through a peer; NULL: none */
	Channel *used;       /* the one that opened; NULL: none yet */
	bool direct_tried;   /* this node's connection was begun */
	bool relay_tried;    /* the channel through a peer was begun */
	bool peer_failed;    /* a peer could not connect to the endpoint either */
	bool is_relayed;     /* the request was sent through a peer */
	bool lost_hop;       /* the way to that peer broke */
	bool answer_started; /* a part of the answer has been received */
	bool is_paused;      /* the answer is not read for now */
	bool is_limited;     /* the rest of the answer must not be late */
	bool is_decided;     /* no more of the answer is wanted than has been received */
	uint64_t began_us;
	uint64_t direct_began_us; /* when this node's connection was begun */
	uint64_t opened_us;       /* when the channel in use opened */
	struct event *timer;      /* fires when a peer is asked too, or when the rest of the answer is late */
	LinkProbe *end_probe;     /* looks whether the endpoint lives that has ended its answer; NULL: none */
	bool is_closed;           /* closed; the event loop frees the memory later */
};

static void open_direct_(Outbound *o);
static void open_relay_(Outbound *o);
static uint64_t left_us_(const Outbound *o);
static void on_open_(void *ctx, Channel *c);
static void drop_other_(Outbound *o);
static void on_data_(void *ctx, Channel *c, struct evbuffer *data);
static void on_answer_end_(void *ctx, Channel *c);
static void on_channel_end_(void *ctx, Channel *c, ChannelEnd end);
static void on_used_end_(Outbound *o, ChannelEnd end);
static void probe_end_(Outbound *o);
static void on_end_probed_(void *ctx, uint64_t endpoint_id, LinkProbeResult own, LinkProbeResult peer);
static void on_direct_failed_(Outbound *o, ChannelEnd end);
static void on_relay_failed_(Outbound *o, ChannelEnd end);
static void end_bad_answer_(Outbound *o);
static void limit_head_(Outbound *o);
static void set_timer_(Outbound *o, uint64_t wait_us);
static void on_timer_(evutil_socket_t fd, short what, void *arg);
static void finish_(Outbound *o, BH__TransferEnd end);
static void close_(Outbound *o);
static void on_free_(evutil_socket_t fd, short what, void *arg);

static const ChannelCallbacks ChannelCallbacks_ = {
	.on_open = on_open_, .on_data = on_data_, .on_answer_end = on_answer_end_, .on_end = on_channel_end_};

/* Sends `request`, whose bytes are moved out of it, to an endpoint. `request_id` is for the log. The on_end
 * callback always runs from the event loop, never from within this function. */
Outbound *outbound_start(Gate *g, const BH__RegisteredEndpoint *e, struct evbuffer *request,
						 const char *request_id, const OutboundCallbacks *cb, void *ctx)
{
	Outbound *o = g_new0(Outbound, 1);
	AnswerCallbacks answer = {.on_head = cb->on_head, .on_body = cb->on_body};
	char method[8] = "";

	o->gate = g;
	o->endpoint_id = e->endpoint_id;
	g_strlcpy(o->address, e->entry.address, sizeof o->address);
	g_strlcpy(o->request_id, request_id, sizeof o->request_id);
	o->cb = *cb;
	o->ctx = ctx;
	o->request = evbuffer_new();
	evbuffer_copyout(request, method, 5);
	evbuffer_add_buffer(o->request, request);
	o->request_bytes = evbuffer_get_length(o->request);
	o->parser = answer_parser_new(g, !strcmp(method, "HEAD "), &answer, ctx);
	o->timer = evtimer_new(g->base, on_timer_, o);
	o->began_us = clock_now_us();
	if (links_choose(g->links, e->endpoint_id) == BH__LINK_ROUTE_PEER)
		open_relay_(o);
	else
		open_direct_(o);
	return o;
}

/* Begins to connect to the endpoint, and has the timer ask a peer if that takes long. */
static void open_direct_(Outbound *o)
{
	o->direct_tried = true;
	o->direct_began_us = clock_now_us();
	o->direct = direct_channel_new(o->gate, o->address, o->request_bytes, left_us_(o), &ChannelCallbacks_, o);
	if (!o->relay_tried)
		set_timer_(o, links_get_patience_us(o->gate->links));
}

static void set_timer_(Outbound *o, uint64_t wait_us)
{
	struct timeval tv = {(time_t)(wait_us / BH__SECOND_US), (suseconds_t)(wait_us % BH__SECOND_US)};

	evtimer_add(o->timer, &tv);
}

/* Begins to open a channel through a peer. */
static void open_relay_(Outbound *o)
{
	evtimer_del(o->timer);
	o->relay_tried = true;
	o->relay = relay_channel_new(o->gate, o->endpoint_id, o->request_id, o->request_bytes, left_us_(o),
								 &ChannelCallbacks_, o);
}

/* Returns the time that is left for opening a channel, at least 1. */
static uint64_t left_us_(const Outbound *o)
{
	uint64_t until_us = o->began_us + CONNECT_TIMEOUT_MS * BH__MS_US;
	uint64_t now_us = clock_now_us();

	return until_us > now_us ? until_us - now_us : 1;
}

/* Returns true once a channel to the endpoint is open. */
bool outbound_is_connected(const Outbound *o)
{
	return o->used != NULL || o->end_probe != NULL;
}

/* Returns true if a failure of the request now is to be put down to the way to the endpoint, and not to the
 * endpoint. What a peer that is connected to it reports is the endpoint's. */
bool outbound_is_own_fault(const Outbound *o)
{
	if (o->lost_hop)
		return true;
	if (o->is_relayed)
		return false;
	if (o->peer_failed)
		return links_has_lost_path(o->gate->links, o->endpoint_id);
	return links_is_own_fault(o->gate->links, o->endpoint_id, o->began_us);
}

/* Returns true if the request was sent through a peer. */
bool outbound_is_relayed(const Outbound *o)
{
	return o->is_relayed;
}

/* Pauses or resumes reading the answer. */
void outbound_pause(Outbound *o, bool paused)
{
	o->is_paused = paused;
	if (o->used)
		o->used->ops->pause(o->used, paused);
}

/* Sends the request over the channel that has opened first. */
static void on_open_(void *ctx, Channel *c)
{
	Outbound *o = ctx;

	evtimer_del(o->timer);
	o->opened_us = clock_now_us();
	if (c == o->direct)
		links_note_connected(o->gate->links, o->endpoint_id, o->opened_us - o->direct_began_us);
	o->used = c;
	o->is_relayed = c == o->relay;
	drop_other_(o);
	c->ops->write(c, o->request);
}

/* Closes the channel that is not used. If this node's own connection is still pending while a peer has
 * connected, it is looked at once more, to tell a cut from a slow connection. */
static void drop_other_(Outbound *o)
{
	bool is_slow = o->is_relayed && o->direct;

	if (o->direct && o->direct != o->used) {
		o->direct->ops->close(o->direct);
		o->direct = NULL;
	}
	if (o->relay && o->relay != o->used) {
		o->relay->ops->close(o->relay);
		o->relay = NULL;
	}
	if (is_slow)
		links_look(o->gate->links, o->endpoint_id);
}

/* Parses what has been received. */
static void on_data_(void *ctx, Channel *c, struct evbuffer *data)
{
	Outbound *o = ctx;
	AnswerStatus status;

	(void)c;
	if (!o->answer_started && !o->is_relayed)
		links_note_reached(o->gate->links, o->endpoint_id, o->opened_us);
	o->answer_started = true;
	status = answer_parser_read(o->parser, data);
	if (status == ANSWER_COMPLETE || (status == ANSWER_INCOMPLETE && o->is_decided))
		finish_(o, BH__TRANSFER_COMPLETE);
	else if (status == ANSWER_BAD)
		end_bad_answer_(o);
	else if (!o->is_closed)
		limit_head_(o);
}

/* Breaks off what is no answer. */
static void end_bad_answer_(Outbound *o)
{
	log_event("answer", "what=bad request=%s cause=\"%s\"", o->request_id,
			  answer_parser_get_cause(o->parser));
	finish_(o, BH__TRANSFER_BROKEN);
}

/* Breaks the answer off if the head that is being read, if any, is late. */
static void limit_head_(Outbound *o)
{
	bool is_in_head = answer_parser_is_in_head(o->parser);

	if (is_in_head && !evtimer_pending(o->timer, NULL))
		set_timer_(o, REST_TIMEOUT_MS * BH__MS_US);
	else if (!is_in_head && !o->is_limited)
		evtimer_del(o->timer);
}

/* Handles the end of the answer's bytes while the request is still being sent. Only an answer that the end of
 * its channel completes depends on what becomes of the rest; any other has been cut. */
static void on_answer_end_(void *ctx, Channel *c)
{
	Outbound *o = ctx;

	(void)c;
	if (answer_parser_finish(o->parser) != ANSWER_COMPLETE)
		finish_(o, BH__TRANSFER_BROKEN);
}

/* Handles the end of a channel: of the one in use, or of one that could not be opened. */
static void on_channel_end_(void *ctx, Channel *c, ChannelEnd end)
{
	Outbound *o = ctx;
	bool is_used = c == o->used;
	bool is_relay = c == o->relay;

	if (is_relay)
		o->relay = NULL;
	else
		o->direct = NULL;
	if (is_used)
		on_used_end_(o, end);
	else if (is_relay)
		on_relay_failed_(o, end);
	else
		on_direct_failed_(o, end);
}

/* Ends the request with the channel that it was sent over. */
static void on_used_end_(Outbound *o, ChannelEnd end)
{
	o->used = NULL;
	evtimer_del(o->timer);
	o->lost_hop = end == CHANNEL_LOST;
	if (end == CHANNEL_CLOSED && answer_parser_finish(o->parser) == ANSWER_COMPLETE)
		probe_end_(o);
	else
		finish_(o, BH__TRANSFER_BROKEN);
}

/* Looks whether the endpoint lives, before an answer without a length counts as complete: a process that ends
 * closes its connections in the same way, whether it crashes, is killed, or leaves and does not wait for its
 * last answers. Its address is not another's yet, as far as anything listens there. */
static void probe_end_(Outbound *o)
{
	bool is_known = bh__registry_find(o->gate->registry, o->endpoint_id) != NULL;

	o->end_probe = link_probe_new(o->gate, o->endpoint_id, o->address, is_known, on_end_probed_, o);
}

/* Ends the request by what was found. An endpoint that is merely silent may have answered before. */
static void on_end_probed_(void *ctx, uint64_t endpoint_id, LinkProbeResult own, LinkProbeResult peer)
{
	Outbound *o = ctx;

	(void)endpoint_id;
	o->end_probe = NULL;
	finish_(o, link_probe_weigh(o->gate, own, peer) == BH__CRASH_CONFIRMED ? BH__TRANSFER_BROKEN
																		   : BH__TRANSFER_CLOSED);
}

/* Goes on through a peer after this node's connection has failed. */
static void on_direct_failed_(Outbound *o, ChannelEnd end)
{
	links_note_failed(o->gate->links, o->endpoint_id, end == CHANNEL_REFUSED);
	if (!o->relay_tried)
		open_relay_(o);
	else if (!o->relay)
		finish_(o, BH__TRANSFER_UNREACHABLE);
}

/* Goes on with a connection of this node's after no peer could connect, unless the path to the endpoint's
 * hall is known to be lost: the request is sent elsewhere at once. */
static void on_relay_failed_(Outbound *o, ChannelEnd end)
{
	o->peer_failed = end == CHANNEL_REFUSED || end == CHANNEL_SILENT;
	if (!o->direct_tried && !links_has_lost_path(o->gate->links, o->endpoint_id))
		open_direct_(o);
	else if (!o->direct)
		finish_(o, BH__TRANSFER_UNREACHABLE);
}

/* Asks a peer too, or breaks off an answer whose rest is late. What is not read can't be late. */
static void on_timer_(evutil_socket_t fd, short what, void *arg)
{
	Outbound *o = arg;

	(void)fd;
	(void)what;
	if (o->used && o->is_paused) {
		set_timer_(o, REST_TIMEOUT_MS * BH__MS_US);
		return;
	}
	if (o->used) {
		log_event("answer", "what=late request=%s head=%s", o->request_id,
				  answer_parser_is_in_head(o->parser) ? "no" : "yes");
		finish_(o, BH__TRANSFER_BROKEN);
		return;
	}
	links_note_slow(o->gate->links, o->endpoint_id);
	open_relay_(o);
}

/* Has an answer end with what has been received of it. For its callbacks: on_end() runs once that is parsed,
 * so that an endpoint whose answer is decided by its head is left at once. */
void outbound_end_after_read(Outbound *o)
{
	o->is_decided = true;
}

/* Breaks the answer off if it has not ended after REST_TIMEOUT_MS. */
void outbound_limit_rest(Outbound *o)
{
	o->is_limited = true;
	set_timer_(o, REST_TIMEOUT_MS * BH__MS_US);
}

/* Closes the request and calls on_end with the result. Does nothing if it is closed. */
static void finish_(Outbound *o, BH__TransferEnd end)
{
	OutboundCallbacks cb = o->cb;
	void *ctx = o->ctx;
	bool is_own_fault = outbound_is_own_fault(o);

	if (o->is_closed)
		return;
	close_(o);
	cb.on_end(ctx, end, is_own_fault);
}

/* Cancels the request without calling on_end. The endpoint sees the connection close. */
void outbound_cancel(Outbound *o)
{
	if (!o->is_closed)
		close_(o);
}

/* Closes all channels; the event loop frees the memory later. */
static void close_(Outbound *o)
{
	struct timeval at_once = {0, 0};

	o->is_closed = true;
	answer_parser_end(o->parser);
	event_free(o->timer);
	if (o->end_probe)
		link_probe_delete(o->end_probe);
	o->end_probe = NULL;
	if (o->direct)
		o->direct->ops->close(o->direct);
	if (o->relay)
		o->relay->ops->close(o->relay);
	o->direct = NULL;
	o->relay = NULL;
	event_base_once(o->gate->base, -1, EV_TIMEOUT, on_free_, o, &at_once);
}

/* Frees a closed request. */
static void on_free_(evutil_socket_t fd, short what, void *arg)
{
	Outbound *o = arg;

	(void)fd;
	(void)what;
	answer_parser_delete(o->parser);
	evbuffer_free(o->request);
	g_free(o);
}
