/* SPDX-License-Identifier: BSD-3-Clause */
/* The choice of a source of what the platform says. */
#include "bayhoist/source.h"

#include <string.h>
#include "bayhoist/hash.h"

#define KEY_ "platform-reader"
#define PASS_OVER_US_ (5 * BH__SECOND_US) /* for which a source that was of no use is not asked */
/* Sources in a row that do not answer, after which a node takes itself for cut off from its peers. */
#define SILENT_MAX_ 2
/* Sources in a row that know nothing fresh, after which the platform is taken to be away. Where it turns a
 * third of the nodes away and serves the others, four in a row are among those once in eighty times. */
#define STALE_MAX_ 4
/* Between looks of all nodes together at a platform that is away, beside those of the readers: 4 a second.
 * 295 nodes made some 400 a second in an outage, which cost 0.03 of the worth of a day. */
#define LOOK_SPACING_US_ (250 * BH__MS_US)

static uint64_t pick_(const BH__Source *s, const BH__Members *m, uint64_t now_us);
static void pass_over_(BH__Source *s, uint64_t now_us);

/* Follows membership. Returns true if another source is to be asked than before. */
bool bh__source_process_tick(BH__Source *s, const BH__Members *m, uint64_t now_us)
{
	uint64_t was = s->node;

	s->node = pick_(s, m, now_us);
	return s->node != was;
}

/* The relay of the hall comes first. A node that is the relay, or whose relay was of no use, asks the reader.
 */
static uint64_t pick_(const BH__Source *s, const BH__Members *m, uint64_t now_us)
{
	const BH__MemberInfo *self = bh__members_get_self(m);
	uint64_t key = bh__hash_name(KEY_);
	uint64_t except[BH__SOURCES_MAX];
	unsigned count = 0;
	uint64_t node = 0;

	for (unsigned i = 0; i < BH__SOURCES_MAX; i++)
		if (now_us < s->passed_over[i].until_us)
			except[count++] = s->passed_over[i].node;
	if (!s->silent && !s->stale)
		node = bh__members_pick_except(m, key, self->hall, except, count);
	if (!node || node == self->node_id)
		node = bh__members_pick_except(m, key, NULL, except, count);
	return node ? node : self->node_id;
}

static void pass_over_(BH__Source *s, uint64_t now_us)
{
	unsigned at = s->next_passed_over++ % BH__SOURCES_MAX;

	s->passed_over[at].node = s->node;
	s->passed_over[at].until_us = now_us + PASS_OVER_US_;
}

/* The source knows what the platform said a moment ago. */
void bh__source_note_useful(BH__Source *s)
{
	s->silent = 0;
	s->stale = 0;
}

/* The source has not answered. */
void bh__source_note_silent(BH__Source *s, uint64_t now_us)
{
	pass_over_(s, now_us);
	s->silent++;
}

/* The source has answered that it knows nothing fresh either. */
void bh__source_note_stale(BH__Source *s, uint64_t now_us)
{
	pass_over_(s, now_us);
	s->stale++;
	s->silent = 0;
	if (s->stale % BH__SOURCES_MAX == 0) /* all again, from the first */
		memset(s->passed_over, 0, sizeof s->passed_over);
}

/* Returns true if another node is to be asked. */
bool bh__source_asks(const BH__Source *s, const BH__Members *m)
{
	return s->node != bh__members_get_self(m)->node_id;
}

/* Returns true if this node reads the platform for others: it is the reader, or was until a moment ago, when
 * it began to ask others since the platform did not answer it. */
bool bh__source_reads(const BH__Source *s, const BH__Members *m, uint64_t now_us)
{
	uint64_t self = bh__members_get_self(m)->node_id;

	for (unsigned i = 0; i < BH__SOURCES_MAX; i++)
		if (s->passed_over[i].node == self && now_us < s->passed_over[i].until_us)
			return true;
	return s->node == self;
}

/* Returns true if no peer answers: the node has to see for itself. */
bool bh__source_is_cut_off(const BH__Source *s)
{
	return s->silent >= SILENT_MAX_;
}

/* Returns true if peers answer, and none of them reaches the platform. */
bool bh__source_is_platform_away(const BH__Source *s)
{
	return s->stale >= STALE_MAX_;
}

/* Returns the time between looks of a node that is not the reader: `period_us`, or so long that all nodes
 * together look only a few times a second while the platform is away. */
uint64_t bh__source_get_own_period_us(const BH__Source *s, const BH__Members *m, uint64_t period_us)
{
	if (!bh__source_is_platform_away(s))
		return period_us;
	return MAX(period_us, bh__members_get_count(m) * LOOK_SPACING_US_);
}
