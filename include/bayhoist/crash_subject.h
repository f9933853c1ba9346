/* SPDX-License-Identifier: BSD-3-Clause */
/* What may make a request crash the endpoints that run it: the request as a whole, which callers repeat, or
 * something that it shares with other requests. Each is a subject; all kinds of them are suspected,
 * quarantined and released alike. */
#ifndef BAYHOIST_CRASH_SUBJECT_H
#define BAYHOIST_CRASH_SUBJECT_H

#include "bayhoist/fingerprint.h"
#include "bayhoist/prompt_parts.h"

typedef enum {
	BH__SUBJECT_REQUEST, /* a request, the same in all retries of its caller */
	BH__SUBJECT_PART,    /* a part of a prompt, as a service's endpoints get it in many requests */
	BH__SUBJECT_KIND_COUNT
} BH__SubjectKind;

extern const char *const BH__SubjectKindString[];

/* The subjects of one request. */
typedef struct {
	BH__Fingerprint request;
	uint64_t service_id;          /* hash of the service's name */
	const BH__PromptParts *parts; /* parts that other requests may hold too; NULL: none */
} BH__CrashSubjects;

BH__Fingerprint bh__crash_subject_of_part(uint64_t service_id, uint64_t part_id);
uint32_t bh__crash_subjects_get_count(const BH__CrashSubjects *s);
BH__Fingerprint bh__crash_subjects_get(const BH__CrashSubjects *s, uint32_t index, BH__SubjectKind *kind);
bool bh__crash_subjects_contain(const BH__CrashSubjects *s, const BH__Fingerprint *f);

#endif
