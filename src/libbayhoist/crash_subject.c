/* SPDX-License-Identifier: BSD-3-Clause */
/* The subjects of a request: first the request as a whole, then the parts of its prompt. */
#include "bayhoist/crash_subject.h"

const char *const BH__SubjectKindString[] = {"request", "part"};

/* Returns the fingerprint by which a part is known among the subjects of all kinds. It holds the part's id
 * itself, so that operators recognise it. Client accounts share parts, so it names no account. */
BH__Fingerprint bh__crash_subject_of_part(uint64_t service_id, uint64_t part_id)
{
	return (BH__Fingerprint){.high = service_id, .low = part_id};
}

uint32_t bh__crash_subjects_get_count(const BH__CrashSubjects *s)
{
	return 1 + (s->parts ? s->parts->count : 0);
}

/* Returns the subject with this index and stores its kind; index 0 is the request as a whole. */
BH__Fingerprint bh__crash_subjects_get(const BH__CrashSubjects *s, uint32_t index, BH__SubjectKind *kind)
{
	*kind = index == 0 ? BH__SUBJECT_REQUEST : BH__SUBJECT_PART;
	return index == 0 ? s->request : bh__crash_subject_of_part(s->service_id, s->parts->id[index - 1]);
}

/* Returns true if the request has this subject. */
bool bh__crash_subjects_contain(const BH__CrashSubjects *s, const BH__Fingerprint *f)
{
	for (uint32_t i = 0; i < bh__crash_subjects_get_count(s); i++) {
		BH__SubjectKind kind;
		BH__Fingerprint subject = bh__crash_subjects_get(s, i, &kind);
		if (bh__fingerprint_equal(&subject, f))
			return true;
	}
	return false;
}
