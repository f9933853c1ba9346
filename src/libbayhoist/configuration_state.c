/* SPDX-License-Identifier: BSD-3-Clause */
/* Decides up to when the configuration in force counts as the newest one. Only a platform read that showed
 * that version, or an older one, moves that time. A read that showed a newer one which cannot be decoded
 * fixes it, whatever other nodes say, until a later version is in force or a later read of this node shows
 * something else. Otherwise a key that such a version has taken away would go on working. */
#include "bayhoist/configuration_state.h"

#include <glib.h>
#include <string.h>

const char *const BH__ConfigurationStatusString[] = {"absent", "whole", "partial", "outdated"};

static void note_read_(BH__ConfigurationState *s, uint64_t read_us);
static void clear_refused_(BH__ConfigurationState *s);
static void note_status_(BH__ConfigurationState *s, BH__ConfigurationStatus old, uint64_t now_us);

/* Initializes the state of a node that starts at `now_us`. */
void bh__configuration_state_init(BH__ConfigurationState *s, uint64_t now_us)
{
	memset(s, 0, sizeof *s);
	s->since_us = now_us;
}

/* Returns true if a version is later than the one in force. Versions never go back in a node's life. */
bool bh__configuration_state_is_newer(const BH__ConfigurationState *s, uint64_t version)
{
	return version > s->version;
}

/* Records that a newer version is in force, without `refused_parts` of its parts. `read_us`: the platform
 * read that showed it to be the newest; 0: none did. It ends a refusal only if it is known to come after the
 * refused version: by its number, or where that could not be read, by the read that showed it and because it
 * replaces a version, since a node that starts gets from others what was in force before the refused one. */
void bh__configuration_state_note_installed(BH__ConfigurationState *s, uint64_t version,
											uint64_t refused_parts, uint64_t read_us, uint64_t now_us)
{
	BH__ConfigurationStatus old = bh__configuration_state_get_status(s);
	bool is_after_refused =
		s->refused_version ? version > s->refused_version : s->version && read_us > s->refused_read_us;

	if (is_after_refused)
		clear_refused_(s);
	s->version = version;
	s->refused_parts = refused_parts;
	note_read_(s, read_us);
	note_status_(s, old, now_us);
}

/* Records that a platform read of this node showed the version in force, or an older one that a restored
 * store holds: there is nothing newer. */
void bh__configuration_state_note_shown(BH__ConfigurationState *s, uint64_t read_us, uint64_t now_us)
{
	BH__ConfigurationStatus old = bh__configuration_state_get_status(s);

	if (read_us > s->refused_read_us)
		clear_refused_(s);
	note_read_(s, read_us);
	note_status_(s, old, now_us);
}

/* Records that another node's platform read showed `version` to be the newest. Says nothing if another
 * version is in force here. */
void bh__configuration_state_note_confirmed(BH__ConfigurationState *s, uint64_t version, uint64_t read_us)
{
	if (s->version && version == s->version)
		note_read_(s, read_us);
}

/* Records that a platform read showed a version that cannot be decoded; 0: not even its number can. One with
 * the number of the version in force has other content than that, and is taken for newer. An older one says
 * nothing. */
void bh__configuration_state_note_refused(BH__ConfigurationState *s, uint64_t version, uint64_t read_us,
										  uint64_t now_us)
{
	BH__ConfigurationStatus old = bh__configuration_state_get_status(s);

	if (version && version < s->version)
		return;
	s->refused_version = version;
	s->refused_read_us = MAX(s->refused_read_us, read_us);
	note_status_(s, old, now_us);
}

/* Records that a platform read showed that operators have written no configuration yet. */
void bh__configuration_state_note_absent(BH__ConfigurationState *s, uint64_t read_us)
{
	s->absent_read_us = MAX(s->absent_read_us, read_us);
}

/* Returns true if a configuration is in force whose keys were those of the newest one less than `trust_us`
 * ago; 0: they are trusted for good. */
bool bh__configuration_state_is_trusted(const BH__ConfigurationState *s, uint64_t trust_us, uint64_t now_us)
{
	return s->version && (!trust_us || now_us < s->newest_read_us + trust_us);
}

/* Returns the latest platform read that is known to have been answered, whatever it showed; 0: none. */
uint64_t bh__configuration_state_get_read_us(const BH__ConfigurationState *s)
{
	return MAX(MAX(s->newest_read_us, s->absent_read_us), s->refused_read_us);
}

BH__ConfigurationStatus bh__configuration_state_get_status(const BH__ConfigurationState *s)
{
	if (s->refused_read_us)
		return BH__CONFIGURATION_OUTDATED;
	if (!s->version)
		return BH__CONFIGURATION_ABSENT;
	return s->refused_parts ? BH__CONFIGURATION_PARTIAL : BH__CONFIGURATION_WHOLE;
}

/* Moves the time up to which the version in force counts as the newest, but not past the read that showed a
 * newer one. */
static void note_read_(BH__ConfigurationState *s, uint64_t read_us)
{
	if (s->refused_read_us)
		read_us = MIN(read_us, s->refused_read_us);
	s->newest_read_us = MAX(s->newest_read_us, read_us);
}

static void clear_refused_(BH__ConfigurationState *s)
{
	s->refused_read_us = 0;
	s->refused_version = 0;
}

/* Notes since when the status holds, if it has changed from `old`. */
static void note_status_(BH__ConfigurationState *s, BH__ConfigurationStatus old, uint64_t now_us)
{
	if (bh__configuration_state_get_status(s) != old)
		s->since_us = now_us;
}
