import { quotaFaults } from '../fakes/virtual/quotaflood';
import { describeFloods } from '../fakes/virtual/quotafloodsuite';

const faults = [
  ['nothing fails', quotaFaults.none],
  ['the owner is killed', quotaFaults.ownerKilled],
  ['a third of the VMs is cut off', quotaFaults.thirdCutOff],
] as const;
const fleets = [
  [8, 1],
  [8, 2],
  [66, 1],
  [66, 2],
] as const;

describeFloods(
  faults.flatMap(([name, fault]) =>
    fleets.map(([size, flooders]) => [name, size, flooders, fault] as const),
  ),
);
