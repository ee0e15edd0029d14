"""Weighted random choice among the first free slots of an ordered list, in logarithmic time. Pure.

A sum tree (segment tree) in Python lists: an update and a search take one step for each level. Sums are
recomputed from the children, not incremented: rounding errors can't add up, and an empty tree sums to 0.
"""


class SumTree:
    def __init__(self, count: int) -> None:
        self.leaves = 1 << max(0, count - 1).bit_length()
        self.weights = [0.0] * (2 * self.leaves)  # node k = sum of 2k and 2k + 1; leaves last
        self.capacities = [0.0] * (2 * self.leaves)  # free slots, in upstreams of mean size

    def set(self, leaf: int, weight: float, capacity: float) -> None:
        node, weights, capacities = leaf + self.leaves, self.weights, self.capacities
        if weights[node] == weight and capacities[node] == capacity:
            return
        weights[node], capacities[node] = weight, capacity
        node >>= 1
        while node:
            left = 2 * node
            weights[node] = weights[left] + weights[left + 1]
            capacities[node] = capacities[left] + capacities[left + 1]
            node >>= 1

    def prefix_weight(self, capacity: float) -> float:
        """Total weight of the shortest prefix that has this much capacity; of all leaves if there is none."""
        node, weights, capacities, before = 1, self.weights, self.capacities, 0.0
        if capacities[1] < capacity:
            return weights[1]
        while node < self.leaves:
            node *= 2
            if capacities[node] < capacity:
                capacity -= capacities[node]
                before += weights[node]
                node += 1
        return before + weights[node]

    def find(self, weight: float) -> int:
        """The leaf at which the cumulative weight exceeds `weight`."""
        node, weights = 1, self.weights
        while node < self.leaves:
            node *= 2
            # never goes right where nothing has weight: rounding could lead past the last such leaf
            if weight >= weights[node] and weights[node + 1] > 0.0:
                weight -= weights[node]
                node += 1
        return node - self.leaves
