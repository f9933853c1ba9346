/* SPDX-License-Identifier: BSD-3-Clause */
/* Binds the library's belief about this node's links (link_state.h) and its choice of peers (relay_peers.h)
 * to the gateway: probes, announcements to the other nodes, log lines and metrics. */
#include "links.h"

#include "bayhoist/relay_peers.h"
#include "clock.h"
#include "hall_paths.h"
#include "link_probe.h"
#include "log.h"
#include "reach.h"
#include "relay_server.h"

/* A cut is announced again after this time, for nodes that missed it or have just started. */
#define ANNOUNCE_PERIOD_US (2 * BH__SECOND_US)
/* Retry-after while neither this node nor a peer reaches the endpoints: as long as that has lasted, within
 * these bounds. */
#define RETRY_CUT_MIN_MS 1000
#define RETRY_CUT_MAX_MS 3000
/* A node is known to be dark after this time: with requests to a service that is dead and to others by turns,
 * the state comes and goes with each. */
#define DARK_MIN_US (250 * BH__MS_US)
#define PROBES_MAX 64 /* probes at the same time */

/* A broken connection that is not yet put down to anybody. */
typedef struct {
	uint64_t endpoint_id;
	char service[BH__NAME_LEN];
} Report;

struct Links {
	Gate *gate;
	BH__LinkState *state;
	BH__RelayPeers *peers;
	HallPaths *paths;                         /* between the halls */
	GHashTable *probes;                       /* LinkProbe by endpoint id */
	GArray *reports;                          /* Report: they wait for a probe */
	BH__LinksState known;                     /* state that was last logged and announced */
	uint64_t announced_us;                    /* when the cut was last announced */
	uint64_t results[BH__RELAY_RESULT_COUNT]; /* peers' answers */
};

static void start_probe_(Links *l, uint64_t endpoint_id, bool with_peer);
static void on_probed_(void *ctx, uint64_t endpoint_id, LinkProbeResult own, LinkProbeResult peer);
static void send_reports_(Links *l, uint64_t endpoint_id, bool is_own_fault);
static void process_change_(Links *l);
static void withdraw_(Links *l);
static void announce_(Links *l, uint64_t now_us);
static void forget_gone_(Links *l);

Links *links_new(Gate *g)
{
	Links *l = g_new0(Links, 1);

	l->gate = g;
	l->state = bh__link_state_new(clock_now_us());
	l->peers = bh__relay_peers_new((uint32_t)g->boot_id);
	l->paths = hall_paths_new(g);
	l->reports = g_array_new(FALSE, FALSE, sizeof(Report));
	l->probes = g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, NULL);
	return l;
}

/* Ends all probes and frees `l`, which may be NULL. */
void links_delete(Links *l)
{
	GHashTableIter it;
	gpointer probe;

	if (!l)
		return;
	g_hash_table_iter_init(&it, l->probes);
	while (g_hash_table_iter_next(&it, NULL, &probe))
		link_probe_delete(probe);
	g_hash_table_unref(l->probes);
	g_array_unref(l->reports);
	hall_paths_delete(l->paths);
	bh__relay_peers_delete(l->peers);
	bh__link_state_delete(l->state);
	g_free(l);
}

/* Returns how a request gets to an endpoint. */
BH__LinkRoute links_choose(const Links *l, uint64_t endpoint_id)
{
	return links_has_lost_path(l, endpoint_id) ? BH__LINK_ROUTE_PEER
											   : bh__link_state_choose(l->state, endpoint_id);
}

/* Returns true while no connection from this node's hall to that of an endpoint can be set up. */
bool links_has_lost_path(const Links *l, uint64_t endpoint_id)
{
	return hall_paths_get_state(l->paths, endpoint_id) == BH__PATH_LOST;
}

/* Returns true unless the path between the halls of two endpoints is known to be lost. */
bool links_has_path_between(const Links *l, uint64_t endpoint_id, uint64_t other_id)
{
	return hall_paths_joins(l->paths, endpoint_id, other_id);
}

/* Returns for how long a connection may be pending before a peer is asked too. */
uint64_t links_get_patience_us(const Links *l)
{
	return bh__link_state_get_patience_us(l->state);
}

/* Returns the retry-after in milliseconds if this node has no way to any endpoint: its own links are cut, and
 * no peer with links is known. Returns 0 if there may be a way. */
uint64_t links_get_retry_after_ms(const Links *l)
{
	uint64_t now_us = clock_now_us();
	BH__LinkEvidence e;

	if (!links_are_cut(l) || bh__relay_peers_pick(l->peers, l->gate->members, NULL, 0, now_us))
		return 0;
	bh__link_state_get_evidence(l->state, &e);
	return CLAMP((now_us - MIN(now_us, e.since_us)) / BH__MS_US, RETRY_CUT_MIN_MS, RETRY_CUT_MAX_MS);
}

/* Returns true while this node has lost its links to all endpoints. */
bool links_are_cut(const Links *l)
{
	return bh__link_state_get(l->state) == BH__LINKS_CUT;
}

/* Returns true if what failed at an endpoint, in a dispatch that began at `since_us`, is to be put down to
 * this node's links or to the path to the endpoint's hall. */
bool links_is_own_fault(const Links *l, uint64_t endpoint_id, uint64_t since_us)
{
	return hall_paths_get_state(l->paths, endpoint_id) != BH__PATH_OPEN ||
		   bh__link_state_is_own_fault(l->state, endpoint_id, since_us);
}

/* Records how long it took this node to connect to an endpoint. */
void links_note_connected(Links *l, uint64_t endpoint_id, uint64_t took_us)
{
	hall_paths_note_reached(l->paths, endpoint_id);
	bh__link_state_note_connect_time(l->state, took_us);
}

/* Records that an endpoint can be used over a connection of this node's that was set up at `opened_us`. */
void links_note_reached(Links *l, uint64_t endpoint_id, uint64_t opened_us)
{
	bh__link_state_note_reached(l->state, endpoint_id, opened_us, clock_now_us());
	process_change_(l);
}

/* Records that connecting to an endpoint takes longer than usual. */
void links_note_slow(Links *l, uint64_t endpoint_id)
{
	hall_paths_note_failed(l->paths, endpoint_id);
}

/* Records that this node could not connect to an endpoint. A refusal has come from there, so the path to its
 * hall works. What a lost path prevents says nothing of this node's own links. */
void links_note_failed(Links *l, uint64_t endpoint_id, bool was_refused)
{
	if (was_refused)
		hall_paths_note_reached(l->paths, endpoint_id);
	else
		hall_paths_note_failed(l->paths, endpoint_id);
	if (links_has_lost_path(l, endpoint_id))
		return;
	bh__link_state_note_failed(l->state, endpoint_id, clock_now_us());
	process_change_(l);
}

/* Looks whether this node can connect to an endpoint, unless it is looking already. */
void links_look(Links *l, uint64_t endpoint_id)
{
	start_probe_(l, endpoint_id, false);
}

/* Looks whether this node and a peer can connect to an endpoint, unless it is looking already. */
void links_verify(Links *l, uint64_t endpoint_id)
{
	start_probe_(l, endpoint_id, true);
}

/* Returns true if a failure of this node's at an endpoint says little of the endpoint: this node's links or
 * the path to the endpoint's hall may be at fault. */
bool links_is_doubtful(const Links *l, uint64_t endpoint_id)
{
	return hall_paths_get_state(l->paths, endpoint_id) != BH__PATH_OPEN ||
		   bh__link_state_is_doubtful(l->state, endpoint_id);
}

/* Handles a connection of this node's that broke before the answer was whole. Whether that is reported to the
 * scheduler as a failure of the endpoint is decided when this node and a peer have looked at it. */
void links_report_broken(Links *l, const char *service, uint64_t endpoint_id)
{
	Report report = {.endpoint_id = endpoint_id};

	if (links_has_lost_path(l, endpoint_id))
		return;
	g_strlcpy(report.service, service, sizeof report.service);
	start_probe_(l, endpoint_id, true);
	if (g_hash_table_contains(l->probes, &endpoint_id))
		g_array_append_val(l->reports, report);
	else
		l->gate->reach_port->failed(l->gate->reach_port, service, endpoint_id);
}

static void start_probe_(Links *l, uint64_t endpoint_id, bool with_peer)
{
	const BH__RegisteredEndpoint *e = bh__registry_find(l->gate->registry, endpoint_id);

	if (!e || g_hash_table_size(l->probes) >= PROBES_MAX || g_hash_table_contains(l->probes, &endpoint_id))
		return;
	g_hash_table_insert(l->probes, g_memdup2(&endpoint_id, sizeof endpoint_id),
						link_probe_new(l->gate, e->endpoint_id, e->entry.address, with_peer, on_probed_, l));
}

/* Records what a probe has found. The peer's part has been recorded with its reply. */
static void on_probed_(void *ctx, uint64_t endpoint_id, LinkProbeResult own, LinkProbeResult peer)
{
	Links *l = ctx;
	uint64_t now_us = clock_now_us();

	g_hash_table_remove(l->probes, &endpoint_id);
	if (own == LINK_PROBE_CONNECTED) {
		hall_paths_note_reached(l->paths, endpoint_id);
		bh__link_state_note_reached(l->state, endpoint_id, now_us, now_us);
		process_change_(l);
	}
	else {
		links_note_failed(l, endpoint_id, own == LINK_PROBE_REFUSED);
	}
	send_reports_(l, endpoint_id,
				  hall_paths_get_state(l->paths, endpoint_id) != BH__PATH_OPEN ||
					  (peer != LINK_PROBE_REFUSED && peer != LINK_PROBE_SILENT &&
					   bh__link_state_choose(l->state, endpoint_id) == BH__LINK_ROUTE_PEER));
}

/* Reports the broken connections to an endpoint that has been looked at, unless this node's links are at
 * fault. */
static void send_reports_(Links *l, uint64_t endpoint_id, bool is_own_fault)
{
	for (guint i = l->reports->len; i-- > 0;) {
		Report report = g_array_index(l->reports, Report, i);
		if (report.endpoint_id != endpoint_id)
			continue;
		g_array_remove_index_fast(l->reports, i);
		if (!is_own_fault)
			l->gate->reach_port->failed(l->gate->reach_port, report.service, endpoint_id);
	}
}

/* Returns the peer to ask next for an endpoint, one whose hall has a path to the endpoint's and to this
 * node's, or NULL if there is none. */
const BH__MemberInfo *links_pick_peer(Links *l, uint64_t endpoint_id, const uint64_t *except,
									  unsigned except_count)
{
	const BH__Members *m = l->gate->members;
	const BH__RegisteredEndpoint *e = bh__registry_find(l->gate->registry, endpoint_id);

	return bh__members_find(m, bh__relay_peers_pick_for(l->peers, m, e ? e->entry.hall : NULL, except,
														except_count, clock_now_us()));
}

/* Returns the name of a node, or "unknown" if it is no member any more. */
const char *links_get_name(const Links *l, uint64_t node_id)
{
	const BH__MemberInfo *info = bh__members_find(l->gate->members, node_id);

	return info ? info->name : "unknown";
}

/* Returns the id of an endpoint as the platform knows it, or "gone". */
const char *links_get_endpoint(const Links *l, uint64_t endpoint_id)
{
	const BH__RegisteredEndpoint *e = bh__registry_find(l->gate->registry, endpoint_id);

	return e ? e->entry.id : "gone";
}

/* Sets this node as the sender of a message that goes over a stream. */
void links_fill_sender(const Links *l, BH__Message *m)
{
	const BH__MemberInfo *self = bh__members_get_self(l->gate->members);

	m->from_node = self->node_id;
	m->from_boot = self->boot_id;
}

/* Sends the bytes in `data`, which are drained, over a stream, with this node as the sender. */
void links_send_bytes(const Links *l, PeerStream *s, struct evbuffer *data)
{
	const BH__MemberInfo *self = bh__members_get_self(l->gate->members);

	peer_stream_send_bytes(s, self->node_id, self->boot_id, data);
}

/* Records that a request begins to go through a peer. */
void links_note_peer_begin(Links *l, uint64_t node_id)
{
	bh__relay_peers_note_begin(l->peers, node_id);
}

/* Records that such a request has ended, or that the peer is not used for it. */
void links_note_peer_end(Links *l, uint64_t node_id)
{
	bh__relay_peers_note_end(l->peers, node_id);
}

/* Records that a peer could not be reached. */
void links_note_peer_lost(Links *l, uint64_t node_id)
{
	bh__relay_peers_note_lost(l->peers, node_id, clock_now_us());
}

/* Records a peer's answer: what it tells of the endpoint, and of the peer itself. */
void links_note_reply(Links *l, uint64_t node_id, uint64_t endpoint_id, BH__RelayResult result)
{
	uint64_t now_us = clock_now_us();

	l->results[result]++;
	if (result == BH__RELAY_OPENED || result == BH__RELAY_ENDPOINT_REFUSED ||
		result == BH__RELAY_ENDPOINT_SILENT)
		bh__link_state_note_peer(l->state, endpoint_id, result == BH__RELAY_OPENED, now_us);
	else if (result == BH__RELAY_NODE_CUT)
		bh__relay_peers_set_cut(l->peers, node_id, true, now_us);
	else if (result == BH__RELAY_NODE_FULL || result == BH__RELAY_NODE_LEAVING)
		bh__relay_peers_note_refused(l->peers, node_id, now_us);
	process_change_(l);
}

/* Logs a change of the state, and announces the beginning and the end of a cut. What this node reported of
 * endpoints while none could be connected to is taken back, here and, by the announcement, on the other
 * nodes: at the beginning of a cut, or once an endpoint answers again if it was open whose fault that was. */
static void process_change_(Links *l)
{
	BH__LinksState was = l->known;
	BH__LinksState state = bh__link_state_get(l->state);
	uint64_t now_us = clock_now_us();
	BH__LinkEvidence e;

	if (was == state)
		return;
	bh__link_state_get_evidence(l->state, &e);
	if (state == BH__LINKS_DARK && now_us < e.since_us + DARK_MIN_US)
		return;
	l->known = state;
	log_event("links",
			  "what=%s was=%s since_ms=%" G_GUINT64_FORMAT
			  " failed_endpoints=%u reached_by_peers=%u failures=%" G_GUINT64_FORMAT
			  " peers_reached=%" G_GUINT64_FORMAT,
			  BH__LinksStateString[l->known], BH__LinksStateString[was],
			  (now_us - MIN(now_us, e.since_us)) / BH__MS_US, e.failed_paths, e.bad_paths, e.failures,
			  e.peers_reached);
	if (l->known == BH__LINKS_DARK)
		return;
	withdraw_(l);
	announce_(l, now_us);
}

/* Takes back, on this node, what it has reported of endpoints. */
static void withdraw_(Links *l)
{
	const BH__Members *m = l->gate->members;

	bh__registry_withdraw_failures(l->gate->registry);
	l->gate->reach_port->withdraw(l->gate->reach_port, bh__members_get_self(m)->node_id);
}

/* Tells all nodes whether this node's links are cut. */
static void announce_(Links *l, uint64_t now_us)
{
	BH__Members *members = l->gate->members;
	BH__Message m = {.type = BH__MESSAGE_LINKS};

	l->announced_us = now_us;
	m.as.links.node_id = bh__members_get_self(members)->node_id;
	m.as.links.is_cut = l->known == BH__LINKS_CUT;
	bh__members_broadcast(members, &m);
}

/* Processes what a node has told about its links, and passes it on. Returns false if the message is another
 * one. */
bool links_process_message(Links *l, const BH__Message *m)
{
	if (hall_paths_process_message(l->paths, m))
		return true;
	if (m->type != BH__MESSAGE_LINKS)
		return false;
	bh__relay_peers_set_cut(l->peers, m->as.links.node_id, m->as.links.is_cut, clock_now_us());
	l->gate->reach_port->withdraw(l->gate->reach_port, m->as.links.node_id);
	bh__members_forward(l->gate->members, m);
	return true;
}

/* Announces a cut again while it lasts, and looks whether endpoints can be connected to again. */
void links_process_tick(Links *l, uint64_t now_us)
{
	uint64_t endpoint_id;

	hall_paths_process_tick(l->paths, now_us);
	if (l->known == BH__LINKS_CUT && now_us >= l->announced_us + ANNOUNCE_PERIOD_US)
		announce_(l, now_us);
	process_change_(l);
	forget_gone_(l);
	endpoint_id = bh__link_state_take_look(l->state, now_us);
	if (endpoint_id)
		start_probe_(l, endpoint_id, l->known == BH__LINKS_DARK);
}

/* Forgets endpoints that are not registered any more. */
static void forget_gone_(Links *l)
{
	GArray *ids = g_array_new(FALSE, FALSE, sizeof(uint64_t));

	bh__link_state_list(l->state, ids);
	for (guint i = 0; i < ids->len; i++)
		if (!bh__registry_find(l->gate->registry, g_array_index(ids, uint64_t, i)))
			bh__link_state_forget(l->state, g_array_index(ids, uint64_t, i));
	g_array_unref(ids);
}

/* Writes the state of the links and the answers of peers as metrics. */
void links_write_status(const Links *l, struct evbuffer *out)
{
	BH__LinkEvidence e;

	bh__link_state_get_evidence(l->state, &e);
	evbuffer_add_printf(out, "bayhoist_links_cut %d\n", links_are_cut(l));
	evbuffer_add_printf(out, "bayhoist_links_cuts_total %" G_GUINT64_FORMAT "\n", e.cuts);
	evbuffer_add_printf(out, "bayhoist_links_endpoints{what=\"failed\"} %u\n", e.failed_paths);
	evbuffer_add_printf(out, "bayhoist_links_endpoints{what=\"reached-by-peers\"} %u\n", e.bad_paths);
	for (int i = 0; i < BH__RELAY_RESULT_COUNT; i++)
		evbuffer_add_printf(out, "bayhoist_relay_replies_total{result=\"%s\"} %" G_GUINT64_FORMAT "\n",
							BH__RelayResultString[i], l->results[i]);
	hall_paths_write_status(l->paths, out);
}

/* Returns the state of this node's links, what it rests on, and the peers in use, as JSON for operators. The
 * caller frees it with json_object_put(). */
struct json_object *links_describe(const Gate *g)
{
	const Links *l = g->links;
	const BH__Members *m = g->members;
	uint64_t now_us = clock_now_us();
	struct json_object *root = json_object_new_object();
	struct json_object *peers = json_object_new_array();
	BH__LinkEvidence e;

	bh__link_state_get_evidence(l->state, &e);
	json_object_object_add(root, "links",
						   json_object_new_string(BH__LinksStateString[bh__link_state_get(l->state)]));
	json_object_object_add(root, "since_ms",
						   json_object_new_int64((int64_t)((now_us - MIN(now_us, e.since_us)) / BH__MS_US)));
	json_object_object_add(root, "failed_endpoints", json_object_new_int64(e.failed_paths));
	json_object_object_add(root, "reached_by_peers", json_object_new_int64(e.bad_paths));
	json_object_object_add(root, "failures", json_object_new_int64((int64_t)e.failures));
	for (unsigned i = 1; i < bh__members_get_count(m); i++) {
		const BH__MemberInfo *info = bh__members_get(m, i);
		unsigned in_use = bh__relay_peers_get_in_use(l->peers, info->node_id);
		bool is_cut = bh__relay_peers_is_cut(l->peers, info->node_id, now_us);
		struct json_object *o;
		if (!in_use && !is_cut)
			continue;
		o = json_object_new_object();
		json_object_object_add(o, "node", json_object_new_string(info->name));
		json_object_object_add(o, "requests_through_it", json_object_new_int64(in_use));
		json_object_object_add(
			o, "links", json_object_new_string(BH__LinksStateString[is_cut ? BH__LINKS_CUT : BH__LINKS_UP]));
		json_object_array_add(peers, o);
	}
	json_object_object_add(root, "requests_of_peers",
						   json_object_new_int64(relay_server_get_count(g->relay_server)));
	json_object_object_add(root, "peers", peers);
	json_object_object_add(root, "paths", hall_paths_describe(l->paths));
	return root;
}
