/* SPDX-License-Identifier: BSD-3-Clause */
/* Chooses the peer through which a node sends a request to an endpoint that it can't connect to itself. The
 * choice spreads over all nodes that reach the endpoints, so that the many nodes of a cut don't all use one.
 */
#ifndef BAYHOIST_RELAY_PEERS_H
#define BAYHOIST_RELAY_PEERS_H

#include "bayhoist/members.h"

typedef struct BH__RelayPeers BH__RelayPeers;

BH__RelayPeers *bh__relay_peers_new(uint32_t seed);
void bh__relay_peers_delete(BH__RelayPeers *r);
uint64_t bh__relay_peers_pick_for(BH__RelayPeers *r, const BH__Members *m, const char *hall,
								  const uint64_t *except, unsigned except_count, uint64_t now_us);
uint64_t bh__relay_peers_pick(BH__RelayPeers *r, const BH__Members *m, const uint64_t *except,
							  unsigned except_count, uint64_t now_us);
void bh__relay_peers_note_begin(BH__RelayPeers *r, uint64_t node_id);
void bh__relay_peers_note_end(BH__RelayPeers *r, uint64_t node_id);
void bh__relay_peers_note_refused(BH__RelayPeers *r, uint64_t node_id, uint64_t now_us);
void bh__relay_peers_note_lost(BH__RelayPeers *r, uint64_t node_id, uint64_t now_us);
void bh__relay_peers_set_cut(BH__RelayPeers *r, uint64_t node_id, bool is_cut, uint64_t now_us);
bool bh__relay_peers_is_cut(const BH__RelayPeers *r, uint64_t node_id, uint64_t now_us);
unsigned bh__relay_peers_get_in_use(const BH__RelayPeers *r, uint64_t node_id);

#endif
