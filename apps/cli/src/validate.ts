import findConflicts from '@cyclamengate/settings/findConflicts';
import { publicationSchema } from '@cyclamengate/settings/publication';
import readYamlFile from '@cyclamengate/settings/readYamlFile';
import type { SubtreeSettings } from '@cyclamengate/settings/subtreeSettings';
import { EXIT_MISUSED, EXIT_OK, newFailure } from './commandOutcome.js';
import type { CommandOutcome } from './commandOutcome.js';

/** Validates the schema, the ranges and the internal references of a file, without the log. */
const validate = async (file: string): Promise<CommandOutcome> => {
  const publication = await readYamlFile(file, publicationSchema);
  if (!publication.ok) return newFailure(publication.val, EXIT_MISUSED);
  const subtrees = new Map(
    Object.entries(publication.val.subtrees).filter(
      (entry): entry is [string, SubtreeSettings] => entry[1] !== null,
    ),
  );
  const conflicts = findConflicts(subtrees);
  if (conflicts.length > 0) return newFailure(`${file}:\n${conflicts.join('\n')}`, EXIT_MISUSED);
  return { status: EXIT_OK, text: `${file}: valid`, json: { isValid: true } };
};

export default validate;
