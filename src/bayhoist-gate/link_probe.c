/* SPDX-License-Identifier: BSD-3-Clause */
/* Connections to an endpoint that are closed again without a request. */
#include "link_probe.h"

#include "channel.h"
#include "links.h"

#define PATIENCE_MS 400 /* for connecting, by this node and by the peer */
/* Something on the way may accept a connection and reset it at once. */
#define LINGER_MS 30
/* The same while the endpoint is reached through peers: what is on the way may reset a connection only when
 * it has failed to reach the endpoint itself, a round trip between regions later. Peers serve meanwhile, and
 * with the period of looks, 250 ms, links that are back are still used within a second. */
#define LINGER_CUT_MS 200

/* One of the two connections. */
typedef struct {
	Channel *channel; /* NULL: none, or it has ended */
	struct event *linger;
	LinkProbeResult result;
	bool pending;
} Half;

struct LinkProbe {
	Gate *gate;
	uint64_t endpoint_id;
	Half own;
	Half peer;
	LinkProbeDone done;
	void *ctx;
};

static void on_open_(void *ctx, Channel *c);
static void on_data_(void *ctx, Channel *c, struct evbuffer *data);
static void on_end_(void *ctx, Channel *c, ChannelEnd end);
static void on_linger_(evutil_socket_t fd, short what, void *arg);
static Half *half_of_(LinkProbe *p, const Channel *c);
static void finish_half_(LinkProbe *p, Half *h, LinkProbeResult result);
static void clear_half_(Half *h);

static const ChannelCallbacks Callbacks_ = {.on_open = on_open_, .on_data = on_data_, .on_end = on_end_};

/* Begins to look at an endpoint; a peer looks only if it knows it too. `done` is called once, from the event
 * loop; the probe is freed afterwards. */
LinkProbe *link_probe_new(Gate *g, uint64_t endpoint_id, const char *address, bool with_peer,
						  LinkProbeDone done, void *ctx)
{
	LinkProbe *p = g_new0(LinkProbe, 1);
	uint64_t patience_us = PATIENCE_MS * BH__MS_US;

	p->gate = g;
	p->endpoint_id = endpoint_id;
	p->done = done;
	p->ctx = ctx;
	p->own.pending = true;
	p->own.linger = evtimer_new(g->base, on_linger_, p);
	p->own.channel = direct_channel_new(g, address, 0, patience_us, &Callbacks_, p);
	if (with_peer) {
		p->peer.pending = true;
		p->peer.channel = relay_channel_new(g, endpoint_id, "", 0, patience_us, &Callbacks_, p);
	}
	return p;
}

/* Ends a probe without calling `done`. */
void link_probe_delete(LinkProbe *p)
{
	clear_half_(&p->own);
	clear_half_(&p->peer);
	g_free(p);
}

/* A connection of this node's must stay open for a moment; a peer has seen to that itself. */
static void on_open_(void *ctx, Channel *c)
{
	LinkProbe *p = ctx;
	bool is_cut = links_choose(p->gate->links, p->endpoint_id) == BH__LINK_ROUTE_PEER;
	const struct timeval linger = {0, (is_cut ? LINGER_CUT_MS : LINGER_MS) * 1000};

	if (half_of_(p, c) == &p->own)
		evtimer_add(p->own.linger, &linger);
	else
		finish_half_(p, &p->peer, LINK_PROBE_CONNECTED);
}

/* Ignores bytes that nobody asked for. */
static void on_data_(void *ctx, Channel *c, struct evbuffer *data)
{
	(void)ctx;
	(void)c;
	evbuffer_drain(data, evbuffer_get_length(data));
}

static void on_end_(void *ctx, Channel *c, ChannelEnd end)
{
	static const LinkProbeResult Result[] = {
		[CHANNEL_CLOSED] = LINK_PROBE_REFUSED, [CHANNEL_BROKEN] = LINK_PROBE_REFUSED,
		[CHANNEL_LOST] = LINK_PROBE_UNKNOWN,   [CHANNEL_REFUSED] = LINK_PROBE_REFUSED,
		[CHANNEL_SILENT] = LINK_PROBE_SILENT,  [CHANNEL_NO_PEER] = LINK_PROBE_UNKNOWN};
	LinkProbe *p = ctx;
	Half *h = half_of_(p, c);

	h->channel = NULL;
	finish_half_(p, h, Result[end]);
}

static void on_linger_(evutil_socket_t fd, short what, void *arg)
{
	LinkProbe *p = arg;

	(void)fd;
	(void)what;
	finish_half_(p, &p->own, LINK_PROBE_CONNECTED);
}

static Half *half_of_(LinkProbe *p, const Channel *c)
{
	return c == p->own.channel ? &p->own : &p->peer;
}

/* Records one result. With the last one, reports both and frees the probe. */
static void finish_half_(LinkProbe *p, Half *h, LinkProbeResult result)
{
	h->result = result;
	clear_half_(h);
	if (p->own.pending || p->peer.pending)
		return;
	p->done(p->ctx, p->endpoint_id, p->own.result, p->peer.result);
	g_free(p);
}

/* Weighs what this node and a peer have found. An endpoint that either connects to lives. One that refuses
 * has crashed, unless only this node says so and its links are cut. */
BH__CrashEvidence link_probe_weigh(const Gate *g, LinkProbeResult own, LinkProbeResult peer)
{
	if (own == LINK_PROBE_CONNECTED || peer == LINK_PROBE_CONNECTED)
		return BH__CRASH_DISPROVEN;
	if (peer == LINK_PROBE_REFUSED)
		return BH__CRASH_CONFIRMED;
	return own == LINK_PROBE_REFUSED && !links_are_cut(g->links) ? BH__CRASH_CONFIRMED : BH__CRASH_UNKNOWN;
}

static void clear_half_(Half *h)
{
	h->pending = false;
	if (h->channel)
		h->channel->ops->close(h->channel);
	h->channel = NULL;
	if (h->linger)
		event_free(h->linger);
	h->linger = NULL;
}
