"""Free slots by weight in a fixed order, drawn among the first ones without a walk. Pure.

A sum tree of Python lists: a change and a draw take a step for each doubling of the places. Sums are made
anew on the way up, never added to and taken from: no error gathers, and a tree of nothing sums to exactly 0.
"""


class Places:
    def __init__(self, count: int) -> None:
        self.leaves = 1 << max(0, count - 1).bit_length()
        self.weights = [0.0] * (2 * self.leaves)  # node k sums 2k and 2k + 1; the leaves stand at the end
        self.rooms = [0.0] * (2 * self.leaves)

    def put(self, place: int, weight: float, room: float) -> None:
        node, weights, rooms = place + self.leaves, self.weights, self.rooms
        if weights[node] == weight and rooms[node] == room:
            return
        weights[node], rooms[node] = weight, room
        node >>= 1
        while node:
            left = 2 * node
            weights[node] = weights[left] + weights[left + 1]
            rooms[node] = rooms[left] + rooms[left + 1]
            node >>= 1

    def weight_of_first(self, room: float) -> float:
        """The weight of the first places whose room reaches so much; of all, if it is never reached."""
        node, weights, rooms, before = 1, self.weights, self.rooms, 0.0
        if rooms[1] < room:
            return weights[1]
        while node < self.leaves:
            node *= 2
            if rooms[node] < room:
                room -= rooms[node]
                before += weights[node]
                node += 1
        return before + weights[node]

    def at(self, weight: float) -> int:
        """The place in which the weights from the first on pass so much."""
        node, weights = 1, self.weights
        while node < self.leaves:
            node *= 2
            # hazard: rounding may lead past the last one that weighs anything
            if weight >= weights[node] and weights[node + 1] > 0.0:
                weight -= weights[node]
                node += 1
        return node - self.leaves
