/* SPDX-License-Identifier: BSD-3-Clause */
/* What a node knows of how new its configuration is: the version in force, up to when that is known to be the
 * newest one, and whether a newer one is known that this node cannot decode. API keys are trusted by this
 * alone. Times are in microseconds; those of platform reads are the times at which the reads began. */
#ifndef BAYHOIST_CONFIGURATION_STATE_H
#define BAYHOIST_CONFIGURATION_STATE_H

#include "bayhoist/types.h"

typedef enum {
	BH__CONFIGURATION_ABSENT,  /* none is in force, and none is known */
	BH__CONFIGURATION_WHOLE,   /* the newest known one is in force with all its parts */
	BH__CONFIGURATION_PARTIAL, /* the newest known one is in force without the parts that cannot be decoded */
	BH__CONFIGURATION_OUTDATED /* a newer one than that in force is known, which cannot be decoded */
} BH__ConfigurationStatus;

extern const char *const BH__ConfigurationStatusString[];

typedef struct {
	uint64_t version;         /* in force; 0: none */
	uint64_t refused_parts;   /* parts of it that could not be decoded */
	uint64_t newest_read_us;  /* latest platform read that showed it to be the newest; 0: none */
	uint64_t absent_read_us;  /* latest platform read that showed that there is none; 0: none */
	uint64_t refused_read_us; /* latest platform read that showed a newer one that cannot be decoded; 0: none
								 since the last one that showed the version in force to be the newest */
	uint64_t refused_version; /* version of that one; 0: it cannot be read */
	uint64_t since_us;        /* since when the status is what it is */
} BH__ConfigurationState;

void bh__configuration_state_init(BH__ConfigurationState *s, uint64_t now_us);
bool bh__configuration_state_is_newer(const BH__ConfigurationState *s, uint64_t version);
void bh__configuration_state_note_installed(BH__ConfigurationState *s, uint64_t version,
											uint64_t refused_parts, uint64_t read_us, uint64_t now_us);
void bh__configuration_state_note_shown(BH__ConfigurationState *s, uint64_t read_us, uint64_t now_us);
void bh__configuration_state_note_confirmed(BH__ConfigurationState *s, uint64_t version, uint64_t read_us);
void bh__configuration_state_note_refused(BH__ConfigurationState *s, uint64_t version, uint64_t read_us,
										  uint64_t now_us);
void bh__configuration_state_note_absent(BH__ConfigurationState *s, uint64_t read_us);
bool bh__configuration_state_is_trusted(const BH__ConfigurationState *s, uint64_t trust_us, uint64_t now_us);
uint64_t bh__configuration_state_get_read_us(const BH__ConfigurationState *s);
BH__ConfigurationStatus bh__configuration_state_get_status(const BH__ConfigurationState *s);

#endif
