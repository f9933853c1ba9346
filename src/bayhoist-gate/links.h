/* SPDX-License-Identifier: BSD-3-Clause */
/* This node's own links to the endpoints: what it believes of them, and the peers that it sends through while
 * they are cut. */
#ifndef BAYHOIST_GATE_LINKS_H
#define BAYHOIST_GATE_LINKS_H

#include <json-c/json.h>
#include "bayhoist/link_state.h"
#include "gate.h"
#include "peer_stream.h"

Links *links_new(Gate *g);
void links_delete(Links *l);
BH__LinkRoute links_choose(const Links *l, uint64_t endpoint_id);
uint64_t links_get_patience_us(const Links *l);
uint64_t links_get_retry_after_ms(const Links *l);
bool links_are_cut(const Links *l);
bool links_is_own_fault(const Links *l, uint64_t endpoint_id, uint64_t since_us);
void links_note_connected(Links *l, uint64_t endpoint_id, uint64_t took_us);
void links_note_slow(Links *l, uint64_t endpoint_id);
void links_note_reached(Links *l, uint64_t endpoint_id, uint64_t opened_us);
void links_note_failed(Links *l, uint64_t endpoint_id, bool was_refused);
bool links_has_lost_path(const Links *l, uint64_t endpoint_id);
bool links_has_path_between(const Links *l, uint64_t endpoint_id, uint64_t other_id);
void links_look(Links *l, uint64_t endpoint_id);
void links_verify(Links *l, uint64_t endpoint_id);
bool links_is_doubtful(const Links *l, uint64_t endpoint_id);
void links_report_broken(Links *l, const char *service, uint64_t endpoint_id);
const BH__MemberInfo *links_pick_peer(Links *l, uint64_t endpoint_id, const uint64_t *except,
									  unsigned except_count);
const char *links_get_name(const Links *l, uint64_t node_id);
const char *links_get_endpoint(const Links *l, uint64_t endpoint_id);
void links_fill_sender(const Links *l, BH__Message *m);
void links_send_bytes(const Links *l, PeerStream *s, struct evbuffer *data);
void links_note_peer_begin(Links *l, uint64_t node_id);
void links_note_peer_end(Links *l, uint64_t node_id);
void links_note_peer_lost(Links *l, uint64_t node_id);
void links_note_reply(Links *l, uint64_t node_id, uint64_t endpoint_id, BH__RelayResult result);
bool links_process_message(Links *l, const BH__Message *m);
void links_process_tick(Links *l, uint64_t now_us);
void links_write_status(const Links *l, struct evbuffer *out);
struct json_object *links_describe(const Gate *g);

#endif
