package precedence

// FloorShare is floorShare for those that divide slots by class.
const FloorShare = floorShare
