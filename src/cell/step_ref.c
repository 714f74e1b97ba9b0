#include "cell/step_ref.h"

bool step_ref_equals(const struct step_ref *a, const struct step_ref *b)
{
	return a->job == b->job && a->occurrence == b->occurrence &&
	       a->step == b->step;
}
