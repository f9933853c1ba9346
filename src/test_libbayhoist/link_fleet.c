/* SPDX-License-Identifier: BSD-3-Clause */
/* Plays the steps of outbound.c, relay_channel.c, relay_server.c and link_probe.c on virtual time. */
#include "link_fleet.h"

#define ROUND_TRIP_US (3 * BH__MS_US)
#define CONNECT_TIMEOUT_US (400 * BH__MS_US)
#define PEERS_MAX 6
#define PEER_PATIENCE_FACTOR 2
#define STEP_MS 100

/* A probe of a node itself, which ends without an answer. */
typedef struct {
	unsigned node;
	uint64_t endpoint_id;
	uint64_t ends_us;
} Look;

typedef enum { CONNECTED, REFUSED, SILENT } Outcome;

static void on_message_(MemberNode *n, const BH__Message *m);
static void process_change_(LinkNode *n);
static Outcome connect_(const LinkNode *n, uint64_t endpoint_id);
static void look_(LinkNode *n, uint64_t endpoint_id, uint64_t at_us);
static bool relay_(LinkNode *n, uint64_t endpoint_id, bool is_probe, uint64_t *took_us, bool *is_dead);
static BH__RelayResult ask_peer_(LinkNode *peer, uint64_t endpoint_id, bool is_probe);
static void verify_(LinkNode *n, uint64_t endpoint_id);

LinkFleet *link_fleet_new(unsigned count, Way way, Face face)
{
	LinkFleet *f = g_new0(LinkFleet, 1);

	f->members = member_fleet_new(count);
	f->members->on_message = on_message_;
	f->node = g_new0(LinkNode, count);
	f->count = count;
	f->way = way;
	f->face = face;
	f->looks = g_array_new(FALSE, FALSE, sizeof(Look));
	for (unsigned i = 0; i < count; i++) {
		LinkNode *n = &f->node[i];
		n->fleet = f;
		n->node = &f->members->node[i];
		n->node->user = n;
		n->state = bh__link_state_new(f->members->now_us);
		n->peers = bh__relay_peers_new(i + 1);
	}
	return f;
}

void link_fleet_delete(LinkFleet *f)
{
	for (unsigned i = 0; i < f->count; i++) {
		bh__link_state_delete(f->node[i].state);
		bh__relay_peers_delete(f->node[i].peers);
	}
	member_fleet_delete(f->members);
	g_array_unref(f->looks);
	g_free(f->node);
	g_free(f);
}

/* Takes what a node tells of its links, and passes it on. */
static void on_message_(MemberNode *n, const BH__Message *m)
{
	LinkNode *self = n->user;

	if (m->type != BH__MESSAGE_LINKS)
		return;
	bh__relay_peers_set_cut(self->peers, m->as.links.node_id, m->as.links.is_cut, n->fleet->now_us);
	bh__members_forward(n->members, m);
}

/* Announces a change of a node's state. */
static void process_change_(LinkNode *n)
{
	BH__Message m = {.type = BH__MESSAGE_LINKS};

	if (n->known == bh__link_state_get(n->state))
		return;
	n->known = bh__link_state_get(n->state);
	m.as.links.node_id = n->node->id;
	m.as.links.is_cut = n->known == BH__LINKS_CUT;
	n->fleet->messages++;
	bh__members_broadcast(n->node->members, &m);
	member_fleet_deliver_pending(n->fleet->members);
}

/* Lets time pass; probes that get no answer end, and cuts are told again. */
void link_fleet_run(LinkFleet *f, unsigned ms)
{
	for (unsigned done = 0; done < ms; done += STEP_MS) {
		member_fleet_run(f->members, STEP_MS);
		for (unsigned i = 0; i < f->count; i++) {
			uint64_t id = bh__link_state_take_look(f->node[i].state, f->members->now_us);
			if (id)
				look_(&f->node[i], id, f->members->now_us);
		}
		for (guint i = f->looks->len; i-- > 0;) {
			Look l = g_array_index(f->looks, Look, i);
			LinkNode *n = &f->node[l.node];
			if (f->members->now_us < l.ends_us)
				continue;
			g_array_remove_index_fast(f->looks, i);
			if (connect_(n, l.endpoint_id) == CONNECTED)
				bh__link_state_note_reached(n->state, l.endpoint_id, l.ends_us, l.ends_us);
			else
				bh__link_state_note_failed(n->state, l.endpoint_id, l.ends_us);
			process_change_(n);
		}
	}
}

/* Returns what a connection of a node's to an endpoint comes to. */
static Outcome connect_(const LinkNode *n, uint64_t endpoint_id)
{
	if (n->fleet->dead[endpoint_id])
		return n->fleet->face == FACE_DARK ? SILENT : REFUSED;
	if (!n->is_cut)
		return CONNECTED;
	return n->fleet->face == FACE_DARK ? SILENT : REFUSED;
}

/* Has a node look at an endpoint once more; a refusal is known at once. */
static void look_(LinkNode *n, uint64_t endpoint_id, uint64_t at_us)
{
	Look l = {.node = (unsigned)(n - n->fleet->node),
			  .endpoint_id = endpoint_id,
			  .ends_us = at_us + CONNECT_TIMEOUT_US};

	if (connect_(n, endpoint_id) != SILENT)
		l.ends_us = at_us;
	g_array_append_val(n->fleet->looks, l);
}

/* Plays one try of a request at a node, which goes on to other endpoints as the retry state allows. Returns
 * true if it reaches an endpoint, and stores the time that this took. */
bool link_fleet_request(LinkFleet *f, unsigned node, uint64_t endpoint_id, uint64_t *took_us)
{
	LinkNode *n = &f->node[node];
	uint64_t now_us = f->members->now_us;
	bool is_dead = false;

	*took_us = 0;
	if (f->way == WAY_RELAY && bh__link_state_choose(n->state, endpoint_id) == BH__LINK_ROUTE_PEER)
		return relay_(n, endpoint_id, false, took_us, &is_dead);
	switch (connect_(n, endpoint_id)) {
	case CONNECTED:
		*took_us = ROUND_TRIP_US;
		n->direct++;
		bh__link_state_note_connect_time(n->state, ROUND_TRIP_US);
		bh__link_state_note_reached(n->state, endpoint_id, now_us, now_us);
		process_change_(n);
		return true;
	case REFUSED:
		*took_us = ROUND_TRIP_US;
		bh__link_state_note_failed(n->state, endpoint_id, now_us);
		break;
	case SILENT:
		*took_us = bh__link_state_get_patience_us(n->state);
		look_(n, endpoint_id, now_us);
		break;
	}
	if (f->way == WAY_RELAY && relay_(n, endpoint_id, false, took_us, &is_dead))
		return true;
	if (f->way == WAY_STEER)
		verify_(n, endpoint_id);
	process_change_(n);
	f->blamed += is_dead || !bh__link_state_is_own_fault(n->state, endpoint_id, now_us);
	return false;
}

/* Asks peers to connect. Returns true if one does. `*is_dead`: one says that the endpoint is at fault. */
static bool relay_(LinkNode *n, uint64_t endpoint_id, bool is_probe, uint64_t *took_us, bool *is_dead)
{
	uint64_t now_us = n->fleet->members->now_us;
	uint64_t asked[PEERS_MAX];
	unsigned count = 0;

	while (count < PEERS_MAX && *took_us < CONNECT_TIMEOUT_US) {
		uint64_t id = bh__relay_peers_pick(n->peers, n->node->members, asked, count, now_us);
		LinkNode *peer = NULL;
		BH__RelayResult result;
		for (unsigned i = 0; i < n->fleet->count; i++)
			if (n->fleet->node[i].node->id == id)
				peer = &n->fleet->node[i];
		if (!peer)
			return false;
		asked[count++] = id;
		result = ask_peer_(peer, endpoint_id, is_probe);
		*took_us += result == BH__RELAY_ENDPOINT_SILENT
						? PEER_PATIENCE_FACTOR * bh__link_state_get_patience_us(n->state)
						: 2 * ROUND_TRIP_US;
		if (result == BH__RELAY_NODE_CUT)
			bh__relay_peers_set_cut(n->peers, id, true, now_us);
		if (result == BH__RELAY_OPENED || result == BH__RELAY_ENDPOINT_REFUSED) {
			bh__link_state_note_peer(n->state, endpoint_id, result == BH__RELAY_OPENED, now_us);
			process_change_(n);
			*is_dead = result != BH__RELAY_OPENED;
			return !*is_dead;
		}
	}
	return false;
}

/* Plays a peer's part. */
static BH__RelayResult ask_peer_(LinkNode *peer, uint64_t endpoint_id, bool is_probe)
{
	uint64_t now_us = peer->fleet->members->now_us;
	BH__RelayResult result = BH__RELAY_OPENED;

	if (bh__link_state_get(peer->state) == BH__LINKS_CUT)
		return BH__RELAY_NODE_CUT;
	switch (connect_(peer, endpoint_id)) {
	case CONNECTED:
		peer->for_peer += !is_probe;
		return BH__RELAY_OPENED;
	case REFUSED:
		bh__link_state_note_failed(peer->state, endpoint_id, now_us);
		result = bh__link_state_is_doubtful(peer->state, endpoint_id) ? BH__RELAY_NODE_DOUBTFUL
																	  : BH__RELAY_ENDPOINT_REFUSED;
		break;
	case SILENT:
		result = BH__RELAY_ENDPOINT_SILENT;
		break;
	}
	if (!is_probe)
		verify_(peer, endpoint_id);
	return result;
}

/* Has a node look at an endpoint itself and through a peer. */
static void verify_(LinkNode *n, uint64_t endpoint_id)
{
	uint64_t took_us = 0;
	bool is_dead = false;

	look_(n, endpoint_id, n->fleet->members->now_us);
	relay_(n, endpoint_id, true, &took_us, &is_dead);
}
